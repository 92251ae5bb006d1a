/**
 * The time that a job may take.
 */
import type { JobQueue } from '../configuration/job-queue.js'

/** Multiple of the time allowed for a job after which callers have no use for its result, as their agreements state it. */
const OBSOLETE_ALLOWANCE_MULTIPLE = 3

/** Times after the request of a job, in milliseconds, from its queue's target. */
export class JobAllowance {
  /** The job is on time if it completes within this time. */
  readonly onTimeMilliseconds: number

  constructor ({ stretch, targetLatencyMilliseconds }: Pick<JobQueue, 'stretch' | 'targetLatencyMilliseconds'>, criticalPathMilliseconds: number) {
    this.onTimeMilliseconds = stretch * criticalPathMilliseconds + targetLatencyMilliseconds
  }

  /** The job's result is of use to its caller if it completes within this time. */
  get usefulMilliseconds (): number {
    return OBSOLETE_ALLOWANCE_MULTIPLE * this.onTimeMilliseconds
  }

  /** Whether the queue has a target. Jobs of one without are never late. */
  static hasTarget ({ stretch, targetLatencyMilliseconds }: Pick<JobQueue, 'stretch' | 'targetLatencyMilliseconds'>): boolean {
    return stretch !== 0 || targetLatencyMilliseconds !== 0
  }
}
