/**
 * Queues in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { Queue } from '../schemas/queue.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ObjectView } from './object-view.js'

/** Shows queues as they were put. */
export class QueueCollection extends ObjectCollection<Queue> {
  override readonly name = 'queues'
  override readonly schema = Queue

  override list (state: FleetState): ObjectView[] {
    return [...state.queues.values()].map(({ value, version }) => ({ name: value.name, version, document: value }))
  }

  protected override command (value: Queue, expectedVersion: number): Command {
    return { kind: 'put-queue', value, expectedVersion }
  }
}
