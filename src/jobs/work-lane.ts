/**
 * Waiting jobs that compete for the same workers.
 */
import type { JobSubmission } from './job-submission.js'
import type { StepDefinition } from './step-definition.js'
import type { TakenWork } from './taken-work.js'
import type { WaitingAmounts } from './waiting-amounts.js'
import type { WaitingJob } from './waiting-job.js'
import { WorkMeter } from './work-meter.js'
import type { WorkRate } from './work-rate.js'

/** Time between two passes over the jobs of a lane for those that have expired, in milliseconds. */
const EXPIRY_INTERVAL_MILLISECONDS = 250

const NOTHING_TAKEN = { tasks: 0, work: 0 }

/**
 * The jobs of a queue and a team that need the same of a worker. One that fits on few workers, or none, or whose team is at its upper limit, is never mistaken for evidence that
 * the pool is too small for others.
 */
export class WorkLane implements WaitingAmounts {
  /** Jobs with waiting tasks. */
  readonly jobs = new Set<WaitingJob>()
  private readonly _meter = new WorkMeter()
  private _unplacedWork = 0
  private _startableWork = 0
  private _expiresAgainAt = -Infinity

  constructor (readonly team: string) {}

  /** Name of the lane of a job among those of its pool: sizes that differ by less than a factor of two need the same of a worker. */
  static nameOf (queue: string, team: string, steps: readonly StepDefinition[]): string {
    const largest = (amount: (step: StepDefinition) => number): number => Math.floor(Math.log2(Math.max(1, ...steps.map(amount))))
    const labels = [...new Set(steps.map(({ requiredLabel }) => requiredLabel))].sort()
    return JSON.stringify([queue, team, labels, largest(({ demand }) => demand.millicores), largest(({ demand }) => demand.memoryMegabytes), Math.max(...steps.map(({ demand }) => demand.accelerators))])
  }

  /** Returns whether the waiting work of a job is counted: it runs once, at once, and ends by itself. */
  static counts ({ steps, occurrences, startAt }: Pick<JobSubmission, 'steps' | 'occurrences' | 'startAt'>): boolean {
    return occurrences === 1 && startAt === 0 && !steps.some(({ isLasting }) => isLasting)
  }

  get unplacedWork (): number {
    return this._unplacedWork
  }

  get startableWork (): number {
    return this._startableWork
  }

  /** Applies a change of what is waiting of a job, and of what has been taken up of it. */
  replace (job: WaitingJob, before: WaitingAmounts, after: WaitingAmounts, taken: TakenWork, now: number): void {
    if (after.unplacedWork > 0) this.jobs.add(job)
    else this.jobs.delete(job)
    this._unplacedWork += after.unplacedWork - before.unplacedWork
    this._startableWork += after.startableWork - before.startableWork
    this._expireJobs(now)
    this._meter.record(taken, this, now)
  }

  /** Discards what was measured of the rate. */
  restartMeasurement (): void {
    this._meter.restart()
  }

  /** Returns the rate at which the lane's work is taken up, as of a time at which the journal was read (epoch milliseconds). */
  rate (asOf: number, now: number): WorkRate {
    this._expireJobs(now)
    this._meter.record(NOTHING_TAKEN, this, now)
    return this._meter.rate(asOf, now)
  }

  /** Removes all jobs, of which it isn't known how long they have been waiting. */
  expireAll (now: number): void {
    this._expiresAgainAt = -Infinity
    this._expireJobs(Infinity)
    this._meter.record(NOTHING_TAKEN, this, now)
  }

  /** Removes jobs whose result is of no use any more: workers aren't kept for them, so that they tell nothing of what the pool can do. */
  private _expireJobs (now: number): void {
    if (now < this._expiresAgainAt) return
    this._expiresAgainAt = now + EXPIRY_INTERVAL_MILLISECONDS
    for (const job of this.jobs) {
      if (job.usefulUntil > now) continue
      this._unplacedWork -= job.unplacedWork
      this._startableWork -= job.startableWork
      job.expire()
      this.jobs.delete(job)
    }
  }
}
