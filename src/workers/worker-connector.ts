/**
 * Interface for connecting to workers.
 */
import type { OrderFence } from '../leases/order-fence.js'
import type { WorkerClient } from '../workers/worker-client.js'
import type { WorkerEntry } from './worker-entry.js'

/** Creates worker clients, which open their connections with the first call. */
export abstract class WorkerConnector {
  /** Returns a client whose calls carry the token of a fence. */
  abstract connect (entry: WorkerEntry, fence: OrderFence): WorkerClient
}
