/**
 * What a refusal or failure says about the request.
 */
import * as z from 'zod'

/** `not-run` is true beyond doubt, `ran` likewise; `unknown` is neither. */
export const RequestOutcome = z.enum(['not-run', 'ran', 'unknown'])
export type RequestOutcome = z.infer<typeof RequestOutcome>
