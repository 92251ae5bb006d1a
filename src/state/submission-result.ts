/**
 * What became of a submitted command.
 */
import type { Decision } from '../schemas/decision.js'

/**
 * `accepted` and `refused` are final, decided in the log. `unknown` may be decided later;
 * `shed` was never appended.
 */
export type SubmissionResult =
  | { readonly kind: 'accepted', readonly decision: Decision }
  | { readonly kind: 'refused', readonly decision: Decision }
  | { readonly kind: 'unknown', readonly id: string }
  | { readonly kind: 'shed', readonly id: string }
