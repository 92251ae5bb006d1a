/**
 * Time that the processes of a fleet share, although their wall clocks differ and jump.
 */
import type { Clock } from '../supervision/clock.js'
import { median } from './median.js'

/** How long an observation of another process's time counts, in milliseconds; clocks drift apart by a few milliseconds meanwhile. */
const OBSERVATION_LIFETIME_MILLISECONDS = 20_000

/** Longest delay with which an observation still agrees with those before it, in milliseconds: one that differs by more comes from an owner that doesn't continue the fleet time. */
const MAXIMUM_OBSERVATION_DELAY_MILLISECONDS = 1_000

/** How far two wall clocks may differ, in milliseconds, each being off by 5 s. */
const MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS = 10_000

/** Time between two comparisons with the time of day, in milliseconds, and how many of them count. */
const COMPARISON_INTERVAL_MILLISECONDS = 500
const MAXIMUM_COMPARISONS = 60

/**
 * The steady clock of the owner of the journal, continued by each owner after it. Times that processes exchange are in fleet time, so that a
 * process whose wall clock was wrong when it started neither makes jobs late nor early. Only the first owner's wall clock sets its origin, and
 * nothing depends on that origin: times of day are converted by their distance to the present. When all processes have restarted, the submissions in the journal, which carry both
 * times, tell the next owner how to continue it.
 */
export class FleetTime {
  private _offset = 0
  /** Time on this process's clock since which all observations have agreed; Infinity without any. */
  private _steadySince = Infinity
  private _observations: { readonly offset: number, readonly at: number }[] = []
  /** Differences between the time of day and the steady clock, newest last. */
  private _comparisons: number[] = []
  private _comparedAt = -Infinity

  /** @param _holder name of this incarnation of the process, whose own records tell it nothing. */
  constructor (private readonly _clock: Clock, private readonly _holder: string) {}

  /** Fleet time, in milliseconds. */
  now (): number {
    return this.fromLocal(this._clock.now())
  }

  /** Converts a time on this process's clock. */
  fromLocal (time: number): number {
    return time + this._offset
  }

  /** Converts a fleet time to this process's clock. */
  toLocal (time: number): number {
    return time - this._offset
  }

  /**
   * Returns the latest time on this process's clock that a fleet time in the past may have been. It is certain if this process has known the fleet time since before then, and no
   * owner has set it anew: one that claims a term without having read a record of another goes by its own wall clock.
   */
  latestLocal (time: number): number {
    const local = this.toLocal(time)
    return local >= this._steadySince ? local : local + MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS
  }

  /**
   * Converts a time of day, such as the due time of a job. The difference to the steady clock is the median of the last half minute, so that a jump
   * of the wall clock, there and back, moves nothing.
   */
  fromTimeOfDay (timeOfDay: number): number {
    return this.fromLocal(timeOfDay - this._timeOfDayDifference())
  }

  /** Converts a fleet time to a time of day; the reverse of `fromTimeOfDay`. */
  toTimeOfDay (time: number): number {
    return this.toLocal(time) + this._timeOfDayDifference()
  }

  /**
   * Continues the fleet time of earlier owners, unless this process has read a record of one as it was written.
   *
   * @param differences fleet time less time of day, for moments that the journal has both of. The median counts, since some of the writers' clocks may have been wrong.
   */
  resume (differences: readonly number[]): void {
    if (this._observations.length > 0 || differences.length === 0) return
    this._offset = median(differences) + this._timeOfDayDifference()
  }

  /** Compares the time of day with the steady clock; called often, it does so twice a second. */
  compareWithTimeOfDay (): void {
    const now = this._clock.now()
    if (now < this._comparedAt + COMPARISON_INTERVAL_MILLISECONDS) return
    this._comparedAt = now
    this._comparisons = [...this._comparisons.slice(1 - MAXIMUM_COMPARISONS), this._clock.timeOfDay() - now]
  }

  /** Time of day less steady clock: the median of the last half minute. */
  private _timeOfDayDifference (): number {
    this.compareWithTimeOfDay()
    return median(this._comparisons)
  }

  /** Records the fleet time at which `holder` wrote a record that was just read. The record that was least delayed since then is the most accurate. */
  observe (writtenAt: number, holder: string): void {
    if (holder === this._holder) return
    const now = this._clock.now()
    const offset = writtenAt - now
    if (this._observations.length === 0 || Math.abs(offset - this._offset) > MAXIMUM_OBSERVATION_DELAY_MILLISECONDS) this._steadySince = now
    this._observations = [...this._observations.filter(({ at }) => at > now - OBSERVATION_LIFETIME_MILLISECONDS), { offset, at: now }]
    this._offset = Math.max(...this._observations.map(observation => observation.offset))
  }
}
