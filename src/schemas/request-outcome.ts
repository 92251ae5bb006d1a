/**
 * Whether a refused or failed request ran.
 */
import * as z from 'zod'

/** `not-run` and `ran` are certain; with `unknown` the request may or may not have run. */
export const RequestOutcome = z.enum(['not-run', 'ran', 'unknown'])
export type RequestOutcome = z.infer<typeof RequestOutcome>
