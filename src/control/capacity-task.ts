/**
 * Starts the operations on VMs that the preset in force and the maintenance waves require.
 */
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { VirtualMachineOperation } from '../schemas/virtual-machine-operation.js'
import type { Wave } from '../schemas/wave.js'
import { budgetFindings } from '../state/budget-findings.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'
import type { MovePlanner } from './move-planner.js'

/** Limit on operations started in one step, for moves and for each wave; the next step starts more. */
const MAXIMUM_STARTS_PER_STEP = 32

/**
 * Starts as many of the outstanding moves and maintenance operations as the availability budgets allow. The fold
 * checks every start against the budgets again, so this task may work on a stale view.
 */
export class CapacityTask extends LeasedTask {
  override readonly name = 'capacity'
  protected override readonly leaseName = 'capacity'

  constructor (context: ControlContext, private readonly _planner: MovePlanner) {
    super(context)
  }

  protected override async step (proof: LeaseProof, _signal: AbortSignal): Promise<void> {
    await this._cancelObsoleteMoves(proof)
    await this._startMoves(proof)
    for (const wave of [...this.context.keeper.state.waves.values()]) {
      if (wave.phase === 'running') await this._advanceWave(wave, proof)
    }
  }

  private async _startMoves (proof: LeaseProof): Promise<void> {
    const { state } = this.context.keeper
    if (!state.presetInForce) return
    let started = 0
    for (const move of this._planner.plan(state)) {
      if (started >= MAXIMUM_STARTS_PER_STEP) return
      const intentId = `${this._presetIntentPrefix()}${move.virtualMachine}-${state.offset}`
      const isStarted = await this._startOperation(move.virtualMachine, { kind: 'move', toPool: move.toPool, intentId, wave: null }, proof)
      if (isStarted) started += 1
    }
  }

  /** Cancels moves of an earlier preset activation that the preset in force doesn't need, as long as their VMs are still draining. */
  private async _cancelObsoleteMoves (proof: LeaseProof): Promise<void> {
    const { state } = this.context.keeper
    const preset = state.activePreset()
    for (const virtualMachine of [...state.virtualMachines.values()]) {
      const { operation, phase, value } = virtualMachine
      if (phase !== 'draining' || operation?.kind !== 'move' || !operation.intentId.startsWith('preset-')) continue
      if (operation.intentId.startsWith(this._presetIntentPrefix())) continue
      const isNeeded = this._isStillNeededIn(operation.toPool)
      if (isNeeded || preset === undefined) continue
      await this.submit({ kind: 'advance-operation', virtualMachine: value.id, intentId: operation.intentId, toPhase: 'serving', proof }, 'operations')
    }
  }

  /** Whether the pool, counting all VMs that are moving to it, doesn't exceed its size in the preset in force. */
  private _isStillNeededIn (pool: string): boolean {
    const { state } = this.context.keeper
    const size = state.activePreset()?.pools.find(presetPool => presetPool.pool === pool)?.size ?? 0
    let count = 0
    for (const virtualMachine of state.virtualMachines.values()) {
      if ((virtualMachine.operation?.toPool ?? virtualMachine.value.pool) === pool) count += 1
    }
    return count <= size
  }

  private _presetIntentPrefix (): string {
    return `preset-${this.context.keeper.state.presetInForce?.version ?? 0}-`
  }

  /** Pauses a wave that is overdue or breaks a budget, finishes a complete one, and starts operations of any other. */
  private async _advanceWave (wave: Wave, proof: LeaseProof): Promise<void> {
    const headroomByPool = this._headroomByPool()
    const reason = this._pauseReason(wave, headroomByPool)
    if (reason) {
      await this._setPhase(wave, 'paused', reason, proof)
      return
    }
    const done = new Set(wave.done)
    const { virtualMachines } = this.context.keeper.state
    // VMs that have been removed since the wave started need no maintenance.
    const remaining = wave.order.filter(id => !done.has(id) && virtualMachines.has(id))
    if (remaining.length === 0) {
      await this._setPhase(wave, 'finished', '', proof)
      return
    }
    await this._startMaintenance(wave, remaining, headroomByPool, proof)
  }

  private async _startMaintenance (wave: Wave, remaining: readonly string[], headroomByPool: Map<string, number>, proof: LeaseProof): Promise<void> {
    const { virtualMachines } = this.context.keeper.state
    const inProgress = remaining.filter(id => virtualMachines.get(id)?.operation?.wave === wave.name).length
    let startsLeft = Math.min(MAXIMUM_STARTS_PER_STEP, wave.maximumAtOnce - inProgress)
    for (const id of remaining) {
      if (startsLeft <= 0) return
      const virtualMachine = virtualMachines.get(id)
      if (!virtualMachine || virtualMachine.operation) continue
      const { pool } = virtualMachine.value
      const headroom = headroomByPool.get(pool) ?? 0
      if (headroom <= 0 && this.context.keeper.state.isServing(virtualMachine)) continue
      headroomByPool.set(pool, headroom - 1)
      const operation: VirtualMachineOperation = {
        kind: 'maintenance', toPool: virtualMachine.value.pool, intentId: `wave-${wave.name}-${id}`, wave: wave.name
      }
      if (await this._startOperation(id, operation, proof)) startsLeft -= 1
    }
  }

  /**
   * Number of serving VMs of each pool above its availability budget. It is computed once for a wave in each step,
   * because counting for each VM would take time quadratic in the size of the fleet.
   */
  private _headroomByPool (): Map<string, number> {
    const { state } = this.context.keeper
    const headroomByPool = new Map([...state.pools.keys()].map(pool => [pool, -state.minimumServing(pool)]))
    for (const virtualMachine of state.virtualMachines.values()) {
      const { pool } = virtualMachine.value
      if (state.isServing(virtualMachine)) headroomByPool.set(pool, (headroomByPool.get(pool) ?? 0) + 1)
    }
    return headroomByPool
  }

  /** Reason why a wave must be paused automatically; empty if it may continue. */
  private _pauseReason (wave: Wave, headroomByPool: ReadonlyMap<string, number>): string {
    const { keeper, clock } = this.context
    const { state } = keeper
    for (const id of wave.order) {
      const virtualMachine = state.virtualMachines.get(id)
      if (virtualMachine?.operation?.wave === wave.name && clock.now() > virtualMachine.phaseDeadline) {
        return `VM ${id} is ${virtualMachine.phase} for longer than it may be`
      }
    }
    for (const pool of this._poolsOf(wave)) {
      const minimum = state.minimumServing(pool)
      const serving = minimum + (headroomByPool.get(pool) ?? 0)
      if (serving < minimum) return `pool ${pool} has ${serving} VMs serving; its availability budget asks for ${minimum}`
    }
    return ''
  }

  private _poolsOf (wave: Wave): Set<string> {
    const { virtualMachines } = this.context.keeper.state
    return new Set(wave.order.flatMap(id => virtualMachines.get(id)?.value.pool ?? []))
  }

  /** Starts an operation on a VM; false if the budget doesn't allow it now or the fold refused the command. */
  private async _startOperation (id: string, operation: VirtualMachineOperation, proof: LeaseProof): Promise<boolean> {
    const { state } = this.context.keeper
    const virtualMachine = state.virtualMachines.get(id)
    if (!virtualMachine || virtualMachine.operation || budgetFindings(state, virtualMachine).length > 0) return false
    return this.submit({ kind: 'start-operation', virtualMachine: id, operation, expectedVersion: virtualMachine.version, proof }, 'operations')
  }

  private async _setPhase (wave: Wave, phase: Wave['phase'], reason: string, proof: LeaseProof): Promise<void> {
    await this.submit({ kind: 'set-wave-phase', name: wave.name, phase, reason, expectedVersion: wave.version, proof }, 'operations')
  }
}
