/**
 * Claims of idempotency keys, which ensure that only one entry process runs the request of a key.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { RecordedOutcome } from './recorded-outcome.js'

/** A claimed idempotency key and, once known, its outcome. */
export const Claim = z.object({
  /** SHA-256 of team, queue and `Idempotency-Key`, in hexadecimal. */
  key: z.string().regex(/^[0-9a-f]{64}$/),
  /** SHA-256 of method, path and body, so that a key used for another request is refused. */
  fingerprint: z.string().regex(/^[0-9a-f]{64}$/),
  /** ID of the request that holds the claim. */
  requestId: z.string().min(1).max(64),
  holder: Holder,
  /** The request's own deadline. */
  requestDeadline: EpochMilliseconds,
  /** When the claim and its outcome expire. */
  expiryDeadline: EpochMilliseconds,
  outcome: RecordedOutcome.nullable()
})
export type Claim = z.infer<typeof Claim>
