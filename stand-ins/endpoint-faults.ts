/**
 * Fault switches of the endpoint's stand-in.
 */
import * as z from 'zod'

/** Which faults are on. */
export const EndpointFaults = z.object({
  /** Every request takes this much longer, in milliseconds. */
  slowMilliseconds: z.number().int().min(0).default(0),
  /** Connections are broken on arrival. */
  isDown: z.boolean().default(false),
  /** Part of the answers that carry another request's identity. */
  crossedPart: z.number().min(0).max(1).default(0),
  /** Part of the answers that end half way. */
  truncatedPart: z.number().min(0).max(1).default(0),
  /** Part of the requests that fail with status 500. */
  failedPart: z.number().min(0).max(1).default(0),
  /** Part of the requests that are refused, provably not run. */
  refusedPart: z.number().min(0).max(1).default(0),
  /** Part of the requests that run and whose connection then breaks before the answer. */
  lostAnswerPart: z.number().min(0).max(1).default(0)
}).strict()
export type EndpointFaults = z.infer<typeof EndpointFaults>
