/**
 * Interface for connecting to workers.
 */
import type { WorkerClient } from './worker-client.js'
import type { WorkerEntry } from './worker-entry.js'

/** Creates worker clients, which open their connections with the first call. */
export abstract class WorkerConnector {
  /** Returns a client whose orders carry the term as fencing token. */
  abstract connect (entry: WorkerEntry, term: number): WorkerClient
}
