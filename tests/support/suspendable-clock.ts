/**
 * The clock of a simulated VM that can be suspended.
 */
import { Clock } from '../../src/supervision/clock.js'

/** Follows another clock. Doesn't count time that passes during suspension, except in the time of day. */
export class SuspendableClock extends Clock {
  private _suspendedMilliseconds = 0
  private _suspendedAt: number | null = null
  private _waiters: Array<() => void> = []

  constructor (private readonly _clock: Clock) {
    super()
  }

  override now (): number {
    return (this._suspendedAt ?? this._clock.now()) - this._suspendedMilliseconds
  }

  override timeOfDay (): number {
    return this._clock.timeOfDay()
  }

  override async sleepUntil (deadline: number, signal?: AbortSignal): Promise<void> {
    do {
      await this._clock.sleepUntil(deadline + this._suspendedMilliseconds, signal)
      await this.untilRunning()
    } while (this.now() < deadline)
  }

  /** Resolves when the VM isn't suspended. */
  async untilRunning (): Promise<void> {
    while (this._suspendedAt !== null) await new Promise<void>(resolve => this._waiters.push(resolve))
  }

  /** Suspends the VM; waiters don't wake until `resume`. */
  suspend (): void {
    this._suspendedAt = this._clock.now()
  }

  /** Resumes the VM as if no time had passed. */
  resume (): void {
    if (this._suspendedAt === null) return
    this._suspendedMilliseconds += this._clock.now() - this._suspendedAt
    this._suspendedAt = null
    for (const wake of this._waiters.splice(0)) wake()
  }
}
