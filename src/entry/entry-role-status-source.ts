/**
 * The state of an entry process that it reports to its peers.
 */
import type { EndpointDirectoryTask } from '../endpoints/endpoint-directory-task.js'
import type { RoleStatus } from '../peers/role-status.js'
import { RoleStatusSource } from '../peers/role-status-source.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { GrantTask } from './grant-task.js'
import type { PoolQueues } from './pool-queues.js'

/** Reports demand, use of grants, VMs that still have work while they are leaving service, and suspected VMs. */
export class EntryRoleStatusSource extends RoleStatusSource {
  private _grants: GrantTask | null = null

  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _queues: PoolQueues,
    private readonly _directory: EndpointDirectoryTask
  ) {
    super()
  }

  /** Sets the grant task. It isn't a constructor parameter because the task depends on what other processes report. */
  setGrantTask (grants: GrantTask): void {
    this._grants = grants
  }

  override roleStatus (): RoleStatus {
    return {
      demands: this._queues.all().flatMap(queue => queue.demands().map(demand => ({ pool: queue.pool, ...demand }))),
      grantUses: this._grants?.grantUses() ?? [],
      busyVirtualMachines: this._busyVirtualMachines(),
      suspectedVirtualMachines: this._directory.all().filter(endpoint => endpoint.isSuspected).map(endpoint => endpoint.virtualMachine)
    }
  }

  /** VMs that accept no new work and still run requests from this process. */
  private _busyVirtualMachines (): string[] {
    const { state } = this._keeper
    return this._directory.all().filter(endpoint => {
      const registered = state.virtualMachines.get(endpoint.virtualMachine)
      return endpoint.isBusy && registered !== undefined && registered.phase !== 'serving'
    }).map(endpoint => endpoint.virtualMachine)
  }
}
