/**
 * The ends of workers that an owner has seen lately.
 */
import type { WorkerEnd } from './worker-end.js'

/** Time for which ends count for the rate, in milliseconds. */
const RETENTION_MILLISECONDS = 30_000

/** Time without an end that is assumed beside what has been seen, in worker-seconds, with part of an end in it: an owner that has seen little doesn't assume that workers never end. */
const PRIOR_WORKER_SECONDS = 30
const PRIOR_ENDS = 0.3

/** Keeps each end once, in the order in which they were seen. */
export class RecentWorkerEnds {
  private _ends: readonly WorkerEnd[] = []

  /** @param _startedAt epoch milliseconds from which ends have been seen. */
  constructor (private readonly _startedAt: number) {}

  get all (): readonly WorkerEnd[] {
    return this._ends
  }

  /** Records an end and returns it, or what is known of it already: that of one incarnation may be seen in several ways. */
  record (end: WorkerEnd): WorkerEnd {
    this._ends = this._ends.filter(({ latestAt }) => latestAt > end.latestAt - RETENTION_MILLISECONDS)
    const known = this._ends.find(({ worker, incarnation }) => worker === end.worker && incarnation === end.incarnation)
    if (known) return known
    this._ends = [...this._ends, end]
    return end
  }

  /**
   * Returns the rate of ends in a second of one worker.
   *
   * @param ends how many of those that are kept count.
   * @param now epoch milliseconds.
   */
  rate (ends: number, workers: number, now: number): number {
    const seconds = Math.min(RETENTION_MILLISECONDS, Math.max(0, now - this._startedAt)) / 1_000
    return (ends + PRIOR_ENDS) / (workers * seconds + PRIOR_WORKER_SECONDS)
  }
}
