/**
 * The outcome of a request that carried an `Idempotency-Key`.
 */
import * as z from 'zod'

/** The outcome that is stored for repetitions of the request. */
export const RecordedOutcome = z.object({
  /**
   * `answered`: the complete response is stored; `ran`: the response was lost or too large to store;
   * `unknown`: the request may have run; `not-run`: it didn't run, so the claim is free again.
   */
  kind: z.enum(['answered', 'ran', 'unknown', 'not-run']),
  /** HTTP status of the response; 0 if there is none. */
  status: z.number().int(),
  /** Content type of the response, or empty. */
  contentType: z.string().max(256),
  /** Body of the response in base64, or empty. */
  body: z.string()
})
export type RecordedOutcome = z.infer<typeof RecordedOutcome>
