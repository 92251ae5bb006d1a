/**
 * A team's access key. The key itself is shown once, when it is granted, and never stored.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** The stored part of a key. */
export const AccessKey = z.object({
  /** Public part of the key, by which it is looked up and withdrawn. */
  id: Name,
  team: Name,
  /** Queues that the key gives access to; empty for all queues. */
  queues: z.array(Name).max(256),
  /** SHA-256 of the whole key, in hexadecimal. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal')
}).strict()
export type AccessKey = z.infer<typeof AccessKey>
