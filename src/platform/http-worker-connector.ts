/**
 * Creates HTTP clients for workers.
 */
import type { OrderFence } from '../leases/order-fence.js'
import type { WorkerClient } from '../workers/worker-client.js'
import { WorkerConnector } from '../workers/worker-connector.js'
import type { WorkerEntry } from '../workers/worker-entry.js'
import type { Dialer } from './dialer.js'
import { HttpWorkerClient } from './http-worker-client.js'

/** Maximum connections to one worker: one long-polls for run completions, the others carry orders. A worker accepts 64 from all clients. */
const CONNECTIONS_PER_WORKER = 4

/** Each worker has its own client with its own connections. */
export class HttpWorkerConnector extends WorkerConnector {
  constructor (private readonly _dialer: Dialer) {
    super()
  }

  override connect (entry: WorkerEntry, fence: OrderFence): WorkerClient {
    return new HttpWorkerClient(this._dialer.dial(entry.address, CONNECTIONS_PER_WORKER), entry, fence)
  }
}
