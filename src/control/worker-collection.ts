/**
 * Workers in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { Worker } from '../schemas/worker.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ObjectView } from './object-view.js'

/** Shows workers with their quarantine state and the failures attributed to them. */
export class WorkerCollection extends ObjectCollection<Worker> {
  override readonly name = 'workers'
  override readonly schema = Worker
  protected override readonly nameField = 'id'

  override list (state: FleetState): ObjectView[] {
    return [...state.workers.values()].map(({ value, version, isQuarantined, provedFailures }) => ({
      name: value.id, version, document: { ...value, isQuarantined, provedFailures }
    }))
  }

  protected override command (value: Worker, expectedVersion: number): Command {
    return { kind: 'put-worker', value, expectedVersion }
  }
}
