/**
 * What the job service answers.
 */
import type { JobState } from './job-state.js'

/**
 * `not-run`: it was not done and never will be; `unknown`: it may have been done; `unsure`: this process can't tell at present.
 */
export type JobResponse =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'state', readonly state: JobState }
  | { readonly kind: 'pending', readonly count: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'not-run' | 'unsure', readonly retryAt: number }
  | { readonly kind: 'unknown' | 'no-queue' | 'no-job' | 'unauthorized' }
