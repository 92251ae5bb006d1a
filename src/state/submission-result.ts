/**
 * Result of submitting a command.
 */
import type { Decision } from '../schemas/decision.js'

/**
 * `accepted` and `refused` are final decisions. A command that is `unknown` at its deadline may
 * still be decided later. A command that was `shed` was never appended.
 */
export type SubmissionResult =
  | { readonly kind: 'accepted', readonly decision: Decision }
  | { readonly kind: 'refused', readonly decision: Decision }
  | { readonly kind: 'unknown', readonly id: string }
  | { readonly kind: 'shed', readonly id: string }
