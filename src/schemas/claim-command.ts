/**
 * Commands that claim idempotency keys and record outcomes. One record holds a batch for many requests.
 */
import * as z from 'zod'
import { Claim } from './claim.js'
import { RecordedOutcome } from './recorded-outcome.js'

/** Claims keys, where the first claim of a key in the log wins, or records the outcomes of claimed requests. */
export const ClaimCommand = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('record-claims'),
    claims: z.array(Claim.omit({ outcome: true })).min(1).max(4_096)
  }),
  z.object({
    kind: z.literal('record-outcomes'),
    outcomes: z.array(z.object({
      key: Claim.shape.key,
      requestId: Claim.shape.requestId,
      outcome: RecordedOutcome
    })).min(1).max(4_096)
  })
])
export type ClaimCommand = z.infer<typeof ClaimCommand>
