/**
 * Decision on whether a job can be served.
 */
import type { WaitEstimate } from './wait-estimate.js'

/**
 * `accepted-unknown`: there is no reliable estimate; `refused-limit`: a task needs more than its team's upper limit; `refused-backlog`: the result would come too late to be of use.
 */
export type ServabilityDecision =
  | { readonly outcome: 'accepted-unknown' | 'refused-limit' }
  | { readonly outcome: 'accepted' | 'refused-backlog', readonly estimate: WaitEstimate }
