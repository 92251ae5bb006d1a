/**
 * Demand of the tasks of one pool.
 */
import type { Resources } from '../jobs/resources.js'

/** Window over which arrivals are counted, in milliseconds: shorter than a queue's burst of jobs, longer than the gap between two jobs of it. */
const ARRIVAL_WINDOW_MILLISECONDS = 500

/** Ratio of the rate of arrivals when a VM that is ordered now has joined the pool to the rate now, at the beginning of a burst. */
const BURST_GROWTH_RATIO = 3

/** A step's tasks that wait or run. */
interface ActiveTasks {
  /** Resources that each task reserves on its worker. */
  readonly reservation: Resources
  readonly count: number
  readonly isLasting: boolean
  /** Minimum number of workers for the step, from its limit on tasks per worker. */
  readonly minimumWorkers: number
}

/** Sums up demand for one round of pool sizing. */
export class PoolDemand {
  /** Processor demand of tasks that run or may start now, in millicores. */
  currentMillicores = 0
  /** Processor demand of lasting tasks among them, in millicores. */
  lastingMillicores = 0
  /** Minimum number of workers for lasting steps. */
  minimumLastingWorkers = 0
  private _arrivedWork = 0
  private _largestArrivedWork = 0

  /** Adds a step's tasks that wait or run. */
  add ({ reservation, count, isLasting, minimumWorkers }: ActiveTasks): void {
    this.currentMillicores += count * reservation.millicores
    if (!isLasting) return
    this.lastingMillicores += count * reservation.millicores
    this.minimumLastingWorkers = Math.max(this.minimumLastingWorkers, minimumWorkers)
  }

  /**
   * Adds a job's whole work if the job arrived within the window.
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
   * Processor demand when a VM that is ordered now has joined the pool, in millicores. Moving a VM takes longer than running
   * a task, and at the beginning of a burst the rate of arrivals still grows meanwhile; a VM too many costs far less than the work that would miss
   * its target. The largest job is left out, because one job alone says nothing about the rate.
   */
  get forecastMillicores (): number {
    return this.lastingMillicores + BURST_GROWTH_RATIO * (this._arrivedWork - this._largestArrivedWork) / ARRIVAL_WINDOW_MILLISECONDS
  }

  /** Processors that the pool should have, in millicores. */
  get requiredMillicores (): number {
    return Math.max(this.currentMillicores, this.forecastMillicores)
  }
}
