/**
 * Choice of the VMs that are moved between pools.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { WorkerTable } from '../workers/worker-table.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { InventoryTask } from './inventory-task.js'
import type { VirtualMachineLocks } from './virtual-machine-locks.js'
import type { VirtualMachineMoves } from './virtual-machine-moves.js'

/** Longest time after which a VM is expected to be idle that is worth waiting for, in milliseconds: about twice that of a move. */
const MAXIMUM_EMPTYING_MILLISECONDS = 3_000

/** Finds VMs that may be moved now. */
export class MoveCandidates {
  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _workers: WorkerTable, private readonly _inventory: InventoryTask, private readonly _locks: VirtualMachineLocks,
    private readonly _moves: VirtualMachineMoves
  ) {}

  /** Returns a VM of the standby pool, or null. */
  standby (standby: string, to: string): FleetVirtualMachine | null {
    for (const candidate of this._inventory.virtualMachines) if (candidate.pool === standby && this._isMovable(candidate, to)) return candidate
    return null
  }

  /** Returns a VM of a pool whose worker has no tasks, or null. */
  idle (pool: string, to: string): FleetVirtualMachine | null {
    for (const candidate of this._inventory.virtualMachines) if (this._workerIn(candidate, pool, to)?.tasks.size === 0) return candidate
    return null
  }

  /** Returns the VM of a pool whose worker is expected to be done with its tasks first if it gets no more, or null if that takes too long for all. */
  soonIdle (pool: string, to: string, now: number): FleetVirtualMachine | null {
    let best: FleetVirtualMachine | null = null
    let earliest = now + MAXIMUM_EMPTYING_MILLISECONDS
    for (const candidate of this._inventory.virtualMachines) {
      const worker = this._workerIn(candidate, pool, to)
      const idleAt = worker ? this._expectedIdleAt(worker, now) : Infinity
      if (idleAt >= earliest) continue
      best = candidate
      earliest = idleAt
    }
    return best
  }

  private _expectedIdleAt (worker: FleetWorker, now: number): number {
    let idleAt = 0
    for (const { startOrderedAt, step: { definition: { isLasting, estimateMilliseconds } } } of worker.tasks) {
      if (isLasting) return Infinity
      idleAt = Math.max(idleAt, (startOrderedAt === 0 ? now : startOrderedAt) + estimateMilliseconds)
    }
    return idleAt
  }

  /** Returns the worker of a VM in a pool if the VM may be moved. */
  private _workerIn (candidate: FleetVirtualMachine, pool: string, to: string): FleetWorker | null {
    if (candidate.pool !== pool || !this._isMovable(candidate, to)) return null
    const worker = this._workers.find(candidate.worker)
    return worker && worker.lastReportAt > 0 && !worker.isCordoned && !worker.entry.isDraining && worker.entry.pool === pool ? worker : null
  }

  private _isMovable (candidate: FleetVirtualMachine, to: string): boolean {
    return candidate.state === 'up' && this._locks.holder(candidate.id) === null && this._locks.isOrderAllowed(candidate.id) &&
      !this._configuration.isZoneOut(candidate.availabilityZone) && !this._moves.isRefused(candidate, to)
  }
}
