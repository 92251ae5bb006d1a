/**
 * A start that gets no response and is carried out late.
 */
import type { EmulatedFleet } from './emulated-fleet.js'

/** Makes the next start late, also for the next incarnation under the worker's ID; returns when it was sent, in epoch milliseconds, or 0 before. */
export function delayNextStart ({ clock, emulator: { faults } }: EmulatedFleet, milliseconds: number): { sentAt: number } {
  const sent = { sentAt: 0 }
  Object.assign(faults, { lateStarts: 1, lateStartMilliseconds: milliseconds, lateStartsReachSuccessors: true })
  const consume = faults.consumeLateStart.bind(faults)
  faults.consumeLateStart = address => {
    const isLate = consume(address)
    if (isLate) sent.sentAt = clock.now()
    return isLate
  }
  return sent
}
