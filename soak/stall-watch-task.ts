/**
 * Watches whether the soak test itself stands still.
 */
import { Task } from '../src/supervision/task.js'
import type { SoakFleet } from './soak-fleet.js'

/** Interval between two looks at the clock. */
const INTERVAL_MILLISECONDS = 50

/** Lateness of a look from which on it counts as a fault; the platform's ordinary calls take a few milliseconds. */
const STALL_MILLISECONDS = 250

/** Counts late timers as faults: while the soak test's event loop stands still, the emulated platform executes no calls. */
export class StallWatchTask extends Task {
  override readonly name = 'stall watch'

  constructor (private readonly _fleet: SoakFleet) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const { clock } = this._fleet
    while (!signal.aborted) {
      const dueAt = clock.now() + INTERVAL_MILLISECONDS
      await clock.sleepUntil(dueAt, signal).catch(() => {})
      const lateness = clock.now() - dueAt
      if (lateness < STALL_MILLISECONDS) continue
      this._fleet.faultIntervals.add(dueAt, clock.now())
      this._fleet.record(`the soak test stood still for ${Math.round(lateness)} ms`)
    }
  }
}
