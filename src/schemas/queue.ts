/**
 * Queues: the destinations that callers address.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Longest timeout that a queue may allow, in milliseconds: one hour. */
const LONGEST_TIMEOUT_MILLISECONDS = 3_600_000

/** The fields of a queue that operators configure. Timeouts are converted to deadlines when a request arrives. */
export const Queue = z.object({
  name: Name,
  /** Pool whose VMs serve the queue. */
  pool: Name,
  /** `request`: an endpoint of the pool serves the requests; `task`: callers submit tasks for workers, and `pool` only names the owner. */
  kind: z.enum(['request', 'task']).default('request'),
  /** Whether callers need no key; such requests belong to no team. */
  openToAll: z.boolean().default(false),
  /** Whether requests with methods other than GET, HEAD, PUT and DELETE may be retried too. */
  isIdempotent: z.boolean().default(false),
  /** Timeout of requests that specify no deadline, counted from their arrival, in milliseconds. */
  defaultTimeoutMilliseconds: z.number().int().min(1).max(LONGEST_TIMEOUT_MILLISECONDS).default(30_000),
  /** Longest timeout that a request may ask for, counted from its arrival, in milliseconds. */
  maximumTimeoutMilliseconds: z.number().int().min(1).max(LONGEST_TIMEOUT_MILLISECONDS).default(300_000),
  /** Maximum number of requests of a team that may wait at one entry VM. */
  maximumQueuedRequests: z.number().int().min(1).max(100_000).default(1_000),
  /** Maximum total size of the request bodies of a team that may wait at one entry VM, in bytes. */
  maximumQueuedBytes: z.number().int().min(1).default(16_777_216),
  /** Largest request body in bytes. */
  maximumBodyBytes: z.number().int().min(0).default(10_485_760)
}).strict()
export type Queue = z.infer<typeof Queue>
