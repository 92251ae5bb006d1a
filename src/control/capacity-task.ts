/**
 * Starts the planned work that presets and maintenance waves call for.
 */
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { VirtualMachineOperation } from '../schemas/virtual-machine-operation.js'
import type { Wave } from '../schemas/wave.js'
import { budgetFindings } from '../state/budget-findings.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'
import type { MovePlanner } from './move-planner.js'

/** Most work started in one step; the rest follows in the next. */
const MAXIMUM_STARTS = 32

/**
 * Looks at what is missing and starts as much of it as the availability budgets allow. The
 * fold checks every start against the budget again, so that this task's view may lag.
 */
export class CapacityTask extends LeasedTask {
  override readonly name = 'capacity'
  protected override readonly lease = 'capacity'

  constructor (parts: ControlContext, private readonly _planner: MovePlanner) {
    super(parts)
  }

  protected override async step (proof: LeaseProof, _signal: AbortSignal): Promise<void> {
    await this._cancelUnwanted(proof)
    await this._startMoves(proof)
    for (const wave of [...this.parts.keeper.state.waves.values()]) {
      if (wave.phase === 'running') await this._carryOn(wave, proof)
    }
  }

  private async _startMoves (proof: LeaseProof): Promise<void> {
    const { state } = this.parts.keeper
    if (!state.presetInForce) return
    let started = 0
    for (const move of this._planner.plan(state)) {
      if (started >= MAXIMUM_STARTS) return
      const intentId = `${this._intentPrefix()}${move.virtualMachine}-${state.offset}`
      const isStarted = await this._start(move.virtualMachine, { kind: 'move', toPool: move.toPool, intentId, wave: null }, proof)
      if (isStarted) started += 1
    }
  }

  /** After another switch, a move that is only draining and would now have to be undone goes back. */
  private async _cancelUnwanted (proof: LeaseProof): Promise<void> {
    const { state } = this.parts.keeper
    const preset = state.activePreset()
    for (const machine of [...state.virtualMachines.values()]) {
      const { operation, phase, value } = machine
      if (phase !== 'draining' || operation?.kind !== 'move' || !operation.intentId.startsWith('preset-')) continue
      if (operation.intentId.startsWith(this._intentPrefix())) continue
      const isWanted = this._isMissing(operation.toPool)
      if (isWanted || preset === undefined) continue
      await this.submit({ kind: 'advance-operation', virtualMachine: value.id, intentId: operation.intentId, toPhase: 'serving', proof }, 'operations')
    }
  }

  /** Whether a pool would lack VMs without one that is on its way to it. */
  private _isMissing (pool: string): boolean {
    const { state } = this.parts.keeper
    const size = state.activePreset()?.pools.find(entry => entry.pool === pool)?.size ?? 0
    let count = 0
    for (const machine of state.virtualMachines.values()) {
      if ((machine.operation?.toPool ?? machine.value.pool) === pool) count += 1
    }
    return count <= size
  }

  private _intentPrefix (): string {
    return `preset-${this.parts.keeper.state.presetInForce?.version ?? 0}-`
  }

  private async _carryOn (wave: Wave, proof: LeaseProof): Promise<void> {
    const room = this._roomByPool()
    const reason = this._troubleOf(wave, room)
    if (reason) {
      await this._setPhase(wave, 'paused', reason, proof)
      return
    }
    const done = new Set(wave.done)
    const { virtualMachines } = this.parts.keeper.state
    // A VM that was removed meanwhile needs no maintenance.
    const open = wave.order.filter(id => !done.has(id) && virtualMachines.has(id))
    if (open.length === 0) {
      await this._setPhase(wave, 'finished', '', proof)
      return
    }
    await this._startMore(wave, open, room, proof)
  }

  private async _startMore (wave: Wave, open: readonly string[], roomByPool: Map<string, number>, proof: LeaseProof): Promise<void> {
    const { virtualMachines } = this.parts.keeper.state
    const underWay = open.filter(id => virtualMachines.get(id)?.operation?.wave === wave.name).length
    let room = Math.min(MAXIMUM_STARTS, wave.maximumAtOnce - underWay)
    for (const id of open) {
      if (room <= 0) return
      const machine = virtualMachines.get(id)
      if (!machine || machine.operation) continue
      const { pool } = machine.value
      const poolRoom = roomByPool.get(pool) ?? 0
      if (poolRoom <= 0 && this.parts.keeper.state.isServing(machine)) continue
      roomByPool.set(pool, poolRoom - 1)
      const operation: VirtualMachineOperation = {
        kind: 'maintenance', toPool: machine.value.pool, intentId: `wave-${wave.name}-${id}`, wave: wave.name
      }
      if (await this._start(id, operation, proof)) room -= 1
    }
  }

  /** VMs that each pool can spare now, counted once for a whole step: asking for each VM anew would take the square of the fleet. */
  private _roomByPool (): Map<string, number> {
    const { state } = this.parts.keeper
    const room = new Map([...state.pools.keys()].map(pool => [pool, -state.minimumServing(pool)]))
    for (const machine of state.virtualMachines.values()) {
      const { pool } = machine.value
      if (state.isServing(machine)) room.set(pool, (room.get(pool) ?? 0) + 1)
    }
    return room
  }

  /** Why a wave must stop by itself, or empty. */
  private _troubleOf (wave: Wave, room: ReadonlyMap<string, number>): string {
    const { keeper, clock } = this.parts
    const { state } = keeper
    for (const id of wave.order) {
      const machine = state.virtualMachines.get(id)
      if (machine?.operation?.wave === wave.name && clock.now() > machine.phaseDeadline) {
        return `VM ${id} is ${machine.phase} for longer than it may be`
      }
    }
    for (const pool of this._poolsOf(wave)) {
      const minimum = state.minimumServing(pool)
      const serving = minimum + (room.get(pool) ?? 0)
      if (serving < minimum) return `pool ${pool} has ${serving} VMs serving; its availability budget asks for ${minimum}`
    }
    return ''
  }

  private _poolsOf (wave: Wave): Set<string> {
    const { virtualMachines } = this.parts.keeper.state
    return new Set(wave.order.flatMap(id => virtualMachines.get(id)?.value.pool ?? []))
  }

  /** Starts work on a VM; false if the budget or the fold says no for now. */
  private async _start (id: string, operation: VirtualMachineOperation, proof: LeaseProof): Promise<boolean> {
    const { state } = this.parts.keeper
    const machine = state.virtualMachines.get(id)
    if (!machine || machine.operation || budgetFindings(state, machine).length > 0) return false
    return this.submit({ kind: 'start-operation', virtualMachine: id, operation, expectedVersion: machine.version, proof }, 'operations')
  }

  private async _setPhase (wave: Wave, phase: Wave['phase'], reason: string, proof: LeaseProof): Promise<void> {
    await this.submit({ kind: 'set-wave-phase', name: wave.name, phase, reason, expectedVersion: wave.version, proof }, 'operations')
  }
}
