/**
 * Notifications about jobs as they are read from the journal.
 */
import type { JobView } from './job-view.js'

/** Implemented by the owner's scheduler; only the process that owns the journal has an observer. */
export abstract class JobObserver {
  /** Called when a job's submission has been applied. */
  abstract jobSubmitted (job: JobView): void

  /** Called when a caller has requested a job's cancellation; the owner decides on it. */
  abstract jobCancellationRequested (job: JobView): void
}
