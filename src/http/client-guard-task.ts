/**
 * Enforces the bounds on clients that depend on time.
 */
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { ClientGuard } from './client-guard.js'

/** Interval at which the progress of clients is checked; short against the time limits. */
const CHECK_INTERVAL_MILLISECONDS = 500

/** Checks in intervals until it is stopped. */
export class ClientGuardTask extends Task {
  override readonly name = 'client-guard'

  constructor (private readonly _guard: ClientGuard, private readonly _clock: Clock) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._guard.sweep()
      await this._clock.sleepUntil(this._clock.now() + CHECK_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }
}
