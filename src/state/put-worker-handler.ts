/**
 * Handler of the `put-worker` command.
 */
import type { PutCommand } from '../schemas/put-command.js'
import type { FleetState } from './fleet-state.js'
import { PutHandler } from './put-handler.js'

/** Registers a worker or replaces its capacity, rack or zone. A replacement keeps the quarantine and the recorded failures. */
export class PutWorkerHandler extends PutHandler<'put-worker'> {
  override readonly kind = 'put-worker'

  protected override versionOf (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-worker' }>): number {
    return state.workers.get(value.id)?.version ?? 0
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-worker' }>, version: number): void {
    const existing = state.workers.get(value.id)
    state.workers.set(value.id, { isQuarantined: false, provedFailures: [], ...existing, value, version })
  }
}
