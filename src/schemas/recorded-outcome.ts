/**
 * What became of a request that carried an `Idempotency-Key`.
 */
import * as z from 'zod'

/** Outcome kept for repeated arrivals. */
export const RecordedOutcome = z.object({
  /** `answered` has the whole answer; `ran` lost it or was too large to keep; `unknown` may have run; `not-run` frees the claim. */
  kind: z.enum(['answered', 'ran', 'unknown', 'not-run']),
  /** HTTP status of the answer; 0 if there is none. */
  status: z.number().int(),
  /** Content type of the answer, or empty. */
  contentType: z.string().max(256),
  /** Body of the answer in base64, or empty. */
  body: z.string()
})
export type RecordedOutcome = z.infer<typeof RecordedOutcome>
