/**
 * The result of claiming an idempotency key.
 */
import type { RecordedOutcome } from '../schemas/recorded-outcome.js'

/**
 * `won`: this request holds the claim and must run. `joined`: another request holds the
 * claim; `outcome` is undefined if that request didn't complete in time. `other-request`:
 * the key was used for a different request. `unavailable`: the claim couldn't be recorded
 * in the log in time, and the request must not run.
 */
export type ClaimResult =
  | { readonly kind: 'won' }
  | { readonly kind: 'joined', readonly outcome: RecordedOutcome | undefined }
  | { readonly kind: 'other-request' }
  | { readonly kind: 'unavailable' }
