/**
 * Tests of starts that are carried out late, by the next worker under the same ID.
 */
import { expect, test } from 'vitest'
import { delayNextStart } from './support/delay-next-start.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

const TASK = 'aaaa.0.0.0'

/** Time that the next incarnation is there before the late start arrives, in milliseconds: no owner has called it by then. */
const LEAD_MILLISECONDS = 1

/** Time that a stop takes at that incarnation, in milliseconds. */
const STOP_MILLISECONDS = 500

// Guards against a worker that is called late after its restart, because the call to its previous incarnation or a pause goes on.
test.each([4_200, 4_300, 4_400, 4_500, 4_600])('a start that is carried out %i ms late by a worker that has been listed anew for 400 ms begins no second run', async lateness => {
  const fleet = new EmulatedFleet(1)
  const { clock, emulator } = fleet
  const worker = emulator.addVirtualMachine('work', 'a', 'r1')
  emulator.addVirtualMachine('work', 'a', 'r2')
  if (!worker) throw new Error('no worker')
  fleet.configure({ hasStandby: false })
  for (const name of ['one', 'two', 'three']) fleet.start(name)
  await clock.advance(2_000)
  const sent = delayNextStart(fleet, lateness)
  fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true, preferredRack: 'r1' }])
  await clock.advance(100)
  emulator.outages.cutPower(worker)
  await clock.advance(sent.sentAt + lateness - 400 - clock.now())
  emulator.restart(worker)
  await clock.advance(30_000)
  expect(fleet.starts(TASK).length).toBe(1)
  expect(fleet.violations()).toEqual([])
})

// Guards against a proof of the end of a worker that is taken for one of a start that is still on its way to the next worker under its ID.
test.each([[1_500, true], [1_900, true], [3_000, false], [3_000, true], [5_000, false], [5_000, true], [6_500, true]])('a start that is carried out %i ms late by the next incarnation under its ID runs no task twice at once after its worker has lost power (owner lost: %s)', async (lateness, isOwnerLost) => {
  const fleet = new EmulatedFleet(1)
  const { emulator } = fleet
  const worker = emulator.addVirtualMachine('work', 'a', 'r1')
  emulator.addVirtualMachine('work', 'a', 'r2')
  if (!worker) throw new Error('no worker')
  fleet.configure({ hasStandby: false })
  for (const name of ['one', 'two', 'three']) fleet.start(name)
  await fleet.clock.advance(2_000)
  const sent = delayNextStart(fleet, lateness)
  fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true, preferredRack: 'r1' }])
  await fleet.clock.advance(100)
  emulator.outages.cutPower(worker)
  await fleet.clock.advance(100)
  if (isOwnerLost) fleet.kill(fleet.owner())
  await fleet.clock.advance(sent.sentAt + lateness - LEAD_MILLISECONDS - fleet.clock.now())
  emulator.restart(worker).stopMilliseconds = STOP_MILLISECONDS
  await fleet.clock.advance(30_000)
  expect(fleet.starts(TASK)).not.toEqual([])
  expect(fleet.violations()).toEqual([])
})
