/**
 * Refusal of a job that can't be served.
 */
import type { JobResponse } from '../jobs/job-response.js'

/** The response to the caller, and the fields of the log line that tell its cause. */
export interface ServabilityRefusal {
  readonly response: JobResponse
  readonly logFields: Readonly<Record<string, string | number>>
}
