/**
 * Problem documents (RFC 9457), the body of every refusal and failure made by the system.
 */
import * as z from 'zod'
import { Finding } from './finding.js'
import { RequestOutcome } from './request-outcome.js'

/** A problem document in a response to a caller or an operator. */
export const Problem = z.object({
  /** URN of the problem type. */
  type: z.string(),
  title: z.string(),
  status: z.number().int(),
  detail: z.string(),
  /** Whether the request ran. */
  outcome: RequestOutcome,
  /** ID of the request, as in the response header. */
  requestId: z.string().optional(),
  /** All validation errors in a document. */
  findings: z.array(Finding).optional()
})
export type Problem = z.infer<typeof Problem>
