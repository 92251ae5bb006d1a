/**
 * A request that has passed admission.
 */
import type { Queue } from '../schemas/queue.js'

/** What later steps need to know of the request. */
export interface AdmittedRequest {
  readonly requestId: string
  readonly queue: Queue
  /** Team that it runs for, or null on a queue open to all. */
  readonly team: string | null
  /** Epoch milliseconds by which its answer must be there. */
  readonly deadline: number
  /** Whether it may be sent more than once. */
  readonly isRepeatable: boolean
}
