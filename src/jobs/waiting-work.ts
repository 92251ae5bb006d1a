/**
 * The waiting work of all pools, built from the journal.
 */
import type { Clock } from '../supervision/clock.js'
import type { JobView } from './job-view.js'
import { PoolWork } from './pool-work.js'
import type { TakenWork } from './taken-work.js'
import type { WaitingAmounts } from './waiting-amounts.js'
import { WaitingJob } from './waiting-job.js'
import { WorkLane } from './work-lane.js'

/** A job with the place where its waiting work is counted. */
interface Entry {
  readonly job: WaitingJob
  readonly pool: string
  readonly laneName: string
}

const NOTHING = { unplacedWork: 0, startableWork: 0 }
const NOTHING_TAKEN = { tasks: 0, work: 0 }

/**
 * Kept up to date with each record at the cost of the step that it concerns. Jobs count for the pool that their queue had when they were accepted; those of versions that
 * don't write their queue don't count.
 */
export class WaitingWork {
  private readonly _entries = new Map<string, Entry>()
  private readonly _pools = new Map<string, PoolWork>()

  constructor (private readonly _clock: Clock) {}

  /** Returns the work of a pool, or null if no job has been accepted for it. */
  ofPool (pool: string): PoolWork | null {
    return this._pools.get(pool) ?? null
  }

  /** Adds an accepted job with the decisions that have been applied to it. */
  add (view: JobView): void {
    const { submission } = view
    const { id, queue, team, steps, queueAtSubmission } = submission
    if (!queueAtSubmission || !WorkLane.counts(submission)) return
    const entry = { job: new WaitingJob(submission, queueAtSubmission, this._clock.now()), pool: queueAtSubmission.pool, laneName: WorkLane.nameOf(queue, team, steps) }
    this._entries.set(id, entry)
    this._replace(entry, NOTHING, entry.job, NOTHING_TAKEN)
    this.update(view, null)
  }

  /** Applies a decision on a job: the progress of a step, or null if it may concern all steps. */
  update (view: JobView, step: number | null): void {
    const entry = this._entries.get(view.submission.id)
    if (!entry) return
    if (view.isCancelled || view.hasFailed) {
      this.remove(view)
      return
    }
    const { unplacedWork, startableWork } = entry.job
    const taken = entry.job.update(view, step)
    this._replace(entry, { unplacedWork, startableWork }, entry.job, taken)
  }

  /** Removes a job that has finished. */
  remove ({ submission: { id } }: JobView): void {
    const entry = this._entries.get(id)
    if (!entry) return
    this._entries.delete(id)
    this._replace(entry, entry.job, NOTHING, NOTHING_TAKEN)
  }

  /** Discards everything after a topic has been loaded: its records are older than they seem. */
  discardLoaded (): void {
    for (const pool of this._pools.values()) pool.expireAll(this._clock.now())
    this.restartMeasurements()
  }

  /** Discards the rates measured so far: they say nothing of a new owner. */
  restartMeasurements (): void {
    for (const pool of this._pools.values()) pool.restartMeasurement()
  }

  private _replace ({ job, pool, laneName }: Entry, before: WaitingAmounts, after: WaitingAmounts, taken: TakenWork): void {
    if (before.unplacedWork === 0 && after.unplacedWork === 0 && taken.tasks === 0) return
    const poolWork = this._pools.get(pool) ?? new PoolWork()
    this._pools.set(pool, poolWork)
    poolWork.replace(laneName, job, before, after, taken, this._clock.now())
  }
}
