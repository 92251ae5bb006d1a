/**
 * The waiting work of one pool.
 */
import type { TakenWork } from './taken-work.js'
import type { WaitingAmounts } from './waiting-amounts.js'
import type { WaitingJob } from './waiting-job.js'
import { WorkLane } from './work-lane.js'
import { WorkMeter } from './work-meter.js'
import type { WorkRate } from './work-rate.js'

/** Whether work waits is asked of each lane, not of the whole pool. */
const NOTHING_WAITING = { unplacedWork: 0, startableWork: 0 }

/** The lanes of a pool that have waiting jobs, and the rate of all its work. */
export class PoolWork {
  private readonly _lanes = new Map<string, WorkLane>()
  private readonly _meter = new WorkMeter()

  /** All lanes. */
  get lanes (): readonly WorkLane[] {
    return [...this._lanes.values()]
  }

  /** Returns a lane, or null if no job waits there. */
  lane (name: string): WorkLane | null {
    return this._lanes.get(name) ?? null
  }

  /** Changes what a lane counts of a job. A lane without waiting jobs isn't kept: its rate says nothing of what the workers can do. */
  replace (laneName: string, job: WaitingJob, before: WaitingAmounts, after: WaitingAmounts, taken: TakenWork, now: number): void {
    const lane = this._lanes.get(laneName) ?? new WorkLane(job.team)
    lane.replace(job, before, after, taken, now)
    if (lane.jobs.size > 0) this._lanes.set(laneName, lane)
    else this._lanes.delete(laneName)
    this._meter.record(taken, NOTHING_WAITING, now)
  }

  /** Discards the rates measured so far. */
  restartMeasurement (): void {
    this._meter.restart()
    for (const lane of this._lanes.values()) lane.restartMeasurement()
  }

  /** Removes all waiting jobs, of which it isn't known how long they have been waiting. */
  expireAll (now: number): void {
    for (const lane of this._lanes.values()) lane.expireAll(now)
    this._lanes.clear()
  }

  /** Returns the rate at which all work of the pool is taken up, as of a time at which the journal was read (epoch milliseconds). */
  rate (asOf: number, now: number): WorkRate {
    return this._meter.rate(asOf, now)
  }
}
