/**
 * Problem documents (RFC 9457), the body of every refusal and failure made by the system.
 */
import * as z from 'zod'
import { Finding } from './finding.js'
import { RequestOutcome } from './request-outcome.js'

/** A problem document as callers and operators get it. */
export const Problem = z.object({
  /** Stable identity of the kind of problem, a URN. */
  type: z.string(),
  title: z.string(),
  status: z.number().int(),
  detail: z.string(),
  /** What became of the request. */
  outcome: RequestOutcome,
  /** Identity of the request, as in the answer's header. */
  requestId: z.string().optional(),
  /** Everything found wrong with a document. */
  findings: z.array(Finding).optional()
})
export type Problem = z.infer<typeof Problem>
