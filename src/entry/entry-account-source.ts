/**
 * What an entry process tells its peers of its work.
 */
import type { EndpointDirectoryTask } from '../endpoints/endpoint-directory-task.js'
import type { RoleStatus } from '../peers/role-status.js'
import { RoleStatusSource } from '../peers/role-status-source.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { GrantTask } from './grant-task.js'
import type { PoolQueues } from './pool-queues.js'

/** Counts demand, use of grants, and work on VMs that are leaving. */
export class EntryAccountSource extends RoleStatusSource {
  private _grants: GrantTask | null = null

  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _queues: PoolQueues,
    private readonly _directory: EndpointDirectoryTask
  ) {
    super()
  }

  /** Gives the grants, which themselves need the accounts of others. */
  setGrantTask (grants: GrantTask): void {
    this._grants = grants
  }

  override roleStatus (): RoleStatus {
    return {
      demands: this._queues.all().flatMap(queue => queue.demands().map(demand => ({ pool: queue.pool, ...demand }))),
      grantUses: this._grants?.grantUses() ?? [],
      busyVirtualMachines: this._busy(),
      suspectedVirtualMachines: this._directory.all().filter(endpoint => endpoint.isSuspected).map(endpoint => endpoint.virtualMachine)
    }
  }

  /** VMs that take no new work and still have some from here. */
  private _busy (): string[] {
    const { state } = this._keeper
    return this._directory.all().filter(endpoint => {
      const machine = state.virtualMachines.get(endpoint.virtualMachine)
      return endpoint.isBusy && machine !== undefined && machine.phase !== 'serving'
    }).map(endpoint => endpoint.virtualMachine)
  }
}
