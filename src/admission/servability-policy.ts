/**
 * Admission of jobs by whether they can be served.
 */
import type { JobCandidate } from './job-candidate.js'
import type { PoolBacklog } from './pool-backlog.js'
import type { ServabilityDecision } from './servability-decision.js'

/** Decides whether a job could still complete while its result is of use. */
export abstract class ServabilityPolicy {
  abstract decide (job: JobCandidate, backlog: PoolBacklog): ServabilityDecision
}
