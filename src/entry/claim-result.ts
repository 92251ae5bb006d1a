/**
 * What came of claiming an idempotency key.
 */
import type { RecordedOutcome } from '../schemas/recorded-outcome.js'

/**
 * `won`: run the request. `joined`: another request holds the claim; its outcome is there
 * unless it didn't come in time. `other-request`: the key was used for something else.
 * `unavailable`: the log could not decide in time, and nothing may run.
 */
export type ClaimResult =
  | { readonly kind: 'won' }
  | { readonly kind: 'joined', readonly outcome: RecordedOutcome | undefined }
  | { readonly kind: 'other-request' }
  | { readonly kind: 'unavailable' }
