/**
 * The claim of one entry process to run one idempotency key.
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
  /** Request that holds the claim. */
  requestId: z.string().min(1).max(64),
  holder: Holder,
  /** When the request's own deadline passes. */
  requestDeadline: EpochMilliseconds,
  /** When the claim and its outcome are forgotten. */
  expiryDeadline: EpochMilliseconds,
  outcome: RecordedOutcome.nullable()
})
export type Claim = z.infer<typeof Claim>
