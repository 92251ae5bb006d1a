/**
 * Who is told of jobs as the journal brings them.
 */
import type { JobView } from './job-view.js'

/** The owner of the journal's present term; other processes have none. */
export abstract class JobObserver {
  /** A job is new to this process. */
  abstract jobSubmitted (job: JobView): void

  /** A job was cancelled. */
  abstract jobCancellationRequested (job: JobView): void
}
