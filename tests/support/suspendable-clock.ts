/**
 * The clock of a machine that can be suspended.
 */
import { Clock } from '../../src/supervision/clock.js'

/** Follows another clock; time that passes while it is suspended isn't counted, except by the time of day. */
export class SuspendableClock extends Clock {
  private _missed = 0
  private _suspendedAt: number | null = null
  private _waiters: Array<() => void> = []

  constructor (private readonly _clock: Clock) {
    super()
  }

  override now (): number {
    return (this._suspendedAt ?? this._clock.now()) - this._missed
  }

  override timeOfDay (): number {
    return this._clock.timeOfDay()
  }

  override async sleepUntil (deadline: number, signal?: AbortSignal): Promise<void> {
    do {
      await this._clock.sleepUntil(deadline + this._missed, signal)
      while (this._suspendedAt !== null) await new Promise<void>(resolve => this._waiters.push(resolve))
    } while (this.now() < deadline)
  }

  /** Stops the machine. */
  suspend (): void {
    this._suspendedAt = this._clock.now()
  }

  /** Lets the machine go on as if no time had passed. */
  resume (): void {
    if (this._suspendedAt === null) return
    this._missed += this._clock.now() - this._suspendedAt
    this._suspendedAt = null
    for (const wake of this._waiters.splice(0)) wake()
  }
}
