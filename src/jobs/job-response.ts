/**
 * Responses of the job service.
 */
import type { JobState } from './job-state.js'

/**
 * `too-large`: the journal, the backlog or the team's upper limit can't hold the job, which never runs; `overloaded`: the backlog has no room for the job at present, or the job would complete too late to
 * be of use; it was not accepted and never runs; `not-run`: the request was not carried out and never will be; `unknown`: it may have been carried out; `unsure`: this process
 * can't tell at present, because its view is stale or incomplete.
 */
export type JobResponse =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'state', readonly state: JobState }
  | { readonly kind: 'pending', readonly count: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'not-run' | 'overloaded' | 'unsure', readonly retryAt: number }
  | { readonly kind: 'too-large' | 'unknown' | 'no-queue' | 'no-job' | 'unauthorized' }
