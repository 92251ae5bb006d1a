/**
 * What the tasks of one pool want.
 */
import type { Resources } from '../jobs/resources.js'

/** Time over which arrivals are counted, in milliseconds: shorter than a queue's turn, longer than the gap between two jobs in it. */
const ARRIVAL_WINDOW_MILLISECONDS = 800

/** Weight of work that is late whatever is done: it is worth a fraction of timely work, but has to be done too. */
const LATE_WORK_WEIGHT = 0.25

/** A step's open tasks. */
interface ActiveTasks {
  readonly reservation: Resources
  readonly count: number
  readonly isLate: boolean
  readonly isLasting: boolean
  /** Workers that a step needs at least, because only so many of its tasks may share one. */
  readonly minimumWorkers: number
}

/** Summed up anew in each round. */
export class PoolDemand {
  /** Processors that tasks want which run or may start now, in millicores. */
  presentMillicores = 0
  /** Of these, what lasting tasks want. */
  lastingMillicores = 0
  /** Workers that lasting steps need at least. */
  minimumLastingWorkers = 0
  private _arrivedWork = 0
  private _largestArrivedWork = 0

  /** Adds a step's open tasks. */
  add ({ reservation: room, count, isLate, isLasting, minimumWorkers: spread }: ActiveTasks): void {
    this.presentMillicores += (isLate ? LATE_WORK_WEIGHT : 1) * count * room.millicores
    if (!isLasting) return
    this.lastingMillicores += count * room.millicores
    this.minimumLastingWorkers = Math.max(this.minimumLastingWorkers, spread)
  }

  /**
   * Adds a job's whole work if it came just now.
   *
   * @param work millicores times milliseconds.
   * @param age milliseconds since its submission.
   */
  addArrival (work: number, age: number): void {
    if (age > ARRIVAL_WINDOW_MILLISECONDS) return
    this._arrivedWork += work
    this._largestArrivedWork = Math.max(this._largestArrivedWork, work)
  }

  /**
   * Processors that will be wanted if jobs go on coming at the present rate, in millicores. A VM takes longer to move than
   * a task to run, so that by its arrival demand has followed the rate. The largest arrival is left out: one job makes no rate.
   */
  get forecastMillicores (): number {
    return this.lastingMillicores + (this._arrivedWork - this._largestArrivedWork) / ARRIVAL_WINDOW_MILLISECONDS
  }

  /** What the pool's size goes by. */
  get requiredMillicores (): number {
    return Math.max(this.presentMillicores, this.forecastMillicores)
  }
}
