/**
 * What the tasks of one pool want.
 */
import type { Resources } from '../jobs/resources.js'

/** Time over which arrivals are counted, in milliseconds: shorter than a queue's turn, longer than the gap between two jobs in it. */
const ARRIVAL_WINDOW_MILLISECONDS = 800

/** Weight of work that is late whatever is done: it is worth a fraction of timely work, but has to be done too. */
const LATE_WEIGHT = 0.25

/** A step's open tasks. */
interface OpenTasks {
  readonly room: Resources
  readonly count: number
  readonly isLate: boolean
  readonly isLasting: boolean
  /** Workers that a step needs at least, because only so many of its tasks may share one. */
  readonly spread: number
}

/** Summed up anew in each round. */
export class PoolDemand {
  /** Processors that tasks want which run or may start now, in millicores. */
  presentMillicores = 0
  /** Of these, what lasting tasks want. */
  lastingMillicores = 0
  /** Workers that lasting steps need at least. */
  lastingSpread = 0
  private _arrived = 0
  private _largestArrival = 0

  /** Adds a step's open tasks. */
  add ({ room, count, isLate, isLasting, spread }: OpenTasks): void {
    this.presentMillicores += (isLate ? LATE_WEIGHT : 1) * count * room.millicores
    if (!isLasting) return
    this.lastingMillicores += count * room.millicores
    this.lastingSpread = Math.max(this.lastingSpread, spread)
  }

  /**
   * Adds a job's whole work if it came just now.
   *
   * @param work millicores times milliseconds.
   * @param age milliseconds since its submission.
   */
  arrive (work: number, age: number): void {
    if (age > ARRIVAL_WINDOW_MILLISECONDS) return
    this._arrived += work
    this._largestArrival = Math.max(this._largestArrival, work)
  }

  /**
   * Processors that will be wanted if jobs go on coming at the present rate, in millicores. A VM takes longer to move than
   * a task to run, so that by its arrival demand has followed the rate. The largest arrival is left out: one job makes no rate.
   */
  get forecastMillicores (): number {
    return this.lastingMillicores + (this._arrived - this._largestArrival) / ARRIVAL_WINDOW_MILLISECONDS
  }

  /** What the pool's size goes by. */
  get wantedMillicores (): number {
    return Math.max(this.presentMillicores, this.forecastMillicores)
  }
}
