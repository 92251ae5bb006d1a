/**
 * Commands that claim idempotency keys and record outcomes; batched, one record for many requests.
 */
import * as z from 'zod'
import { Claim } from './claim.js'
import { RecordedOutcome } from './recorded-outcome.js'

/** Claims keys, of which the first at an offset wins, or records outcomes of claims held. */
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
