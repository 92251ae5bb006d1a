/**
 * A request that has passed admission control.
 */
import type { Queue } from '../schemas/queue.js'

/** Properties of the request that queueing and dispatch depend on. */
export interface AdmittedRequest {
  readonly requestId: string
  readonly queue: Queue
  /** Team that the request belongs to, or null on a queue that is open to all. */
  readonly team: string | null
  /** Time by which the response must be complete, in epoch milliseconds. */
  readonly deadline: number
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean
}
