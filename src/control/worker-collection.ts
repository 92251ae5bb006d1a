/**
 * Workers in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { Worker } from '../schemas/worker.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ShownObject } from './shown-object.js'

/** Shows workers with what is held against them. */
export class WorkerCollection extends ObjectCollection<Worker> {
  override readonly name = 'workers'
  override readonly schema = Worker
  protected override readonly nameField = 'id'

  override list (state: FleetState): ShownObject[] {
    return [...state.workers.values()].map(({ value, version, isQuarantined, provedFailures }) => ({
      name: value.id, version, document: { ...value, isQuarantined, provedFailures }
    }))
  }

  protected override command (value: Worker, expectedVersion: number): Command {
    return { kind: 'put-worker', value, expectedVersion }
  }
}
