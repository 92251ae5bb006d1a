/**
 * What decides whether a job is accepted.
 */
import type { BacklogAdmission } from './backlog-admission.js'
import type { RetryTimes } from './retry-times.js'
import type { ServableAdmission } from './servable-admission.js'

/** Used by the job service in this order: a job that can't be served takes no room in the backlog. */
export interface JobAdmission {
  readonly servability: ServableAdmission
  readonly backlog: BacklogAdmission
  readonly retryTimes: RetryTimes
}
