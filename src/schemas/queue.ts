/**
 * A queue: what callers address.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Longest run time that a request may ask for, in milliseconds: one hour. */
const LONGEST_TIMEOUT_MILLISECONDS = 3_600_000

/** What operators set of a queue. Durations become deadlines the moment that a request arrives. */
export const Queue = z.object({
  name: Name,
  /** Pool whose VMs serve the queue. */
  pool: Name,
  /** `request`: answered by an endpoint of the pool; `task`: submitted for workers, `pool` only names the owner. */
  kind: z.enum(['request', 'task']).default('request'),
  /** Whether callers need no key; such work runs for no team. */
  openToAll: z.boolean().default(false),
  /** Whether methods other than GET, HEAD, PUT and DELETE may be repeated too. */
  isIdempotent: z.boolean().default(false),
  /** Deadline given to requests that name none, counted from their arrival, in milliseconds. */
  defaultTimeoutMilliseconds: z.number().int().min(1).max(LONGEST_TIMEOUT_MILLISECONDS).default(30_000),
  /** Latest deadline that a request may ask for, counted from its arrival, in milliseconds. */
  maximumTimeoutMilliseconds: z.number().int().min(1).max(LONGEST_TIMEOUT_MILLISECONDS).default(300_000),
  /** Most requests of one team that wait at one entry VM. */
  maximumQueuedRequests: z.number().int().min(1).max(100_000).default(1_000),
  /** Most bytes of bodies of one team that wait at one entry VM. */
  maximumQueuedBytes: z.number().int().min(1).default(16_777_216),
  /** Largest request body in bytes. */
  maximumBodyBytes: z.number().int().min(0).default(10_485_760)
}).strict()
export type Queue = z.infer<typeof Queue>
