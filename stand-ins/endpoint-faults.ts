/**
 * Fault settings of the simulated endpoint.
 */
import * as z from 'zod'

/** Faults that the simulated endpoint applies; all are off by default. */
export const EndpointFaults = z.object({
  /** Extra processing time of every request, in milliseconds. */
  slowMilliseconds: z.number().int().min(0).default(0),
  /** Whether new connections are closed as soon as they are accepted. */
  isDown: z.boolean().default(false),
  /** Fraction of responses that carry the ID of another request. */
  crossedPart: z.number().min(0).max(1).default(0),
  /** Fraction of responses whose body is cut off halfway. */
  truncatedPart: z.number().min(0).max(1).default(0),
  /** Fraction of requests that run and are answered with status 500. */
  failedPart: z.number().min(0).max(1).default(0),
  /** Fraction of requests that are refused, with a response that proves that they didn't run. */
  refusedPart: z.number().min(0).max(1).default(0),
  /** Fraction of requests that run and whose connection is closed before the response. */
  lostAnswerPart: z.number().min(0).max(1).default(0)
}).strict()
export type EndpointFaults = z.infer<typeof EndpointFaults>
