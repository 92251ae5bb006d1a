/**
 * Handler of the `remove` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { RemoveCommand } from '../schemas/remove-command.js'
import { budgetFindings } from './budget-findings.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { versionFinding } from './version-finding.js'

/** Removes a configuration object that nothing refers to. */
export class RemoveHandler extends CommandHandler<'remove'> {
  override readonly kind = 'remove'

  override check (state: FleetState, command: RemoveCommand, _context: FoldContext): Finding[] {
    const existing = this._collection(state, command).get(command.name)
    if (!existing) return [{ path: '$.name', code: 'not-found', message: `${command.name} does not exist` }]
    return [
      ...versionFinding('$', command.expectedVersion, existing.version),
      ...this._dependents(state, command).map((dependent): Finding => ({ path: '$.name', code: 'in-use', message: `is used by ${dependent}` })),
      ...this._checkVirtualMachine(state, command)
    ]
  }

  override apply (state: FleetState, command: RemoveCommand, context: FoldContext): void {
    this._collection(state, command).delete(command.name)
    state.configurationOffset = context.offset
  }

  private _collection (state: FleetState, command: RemoveCommand): Map<string, { version: number }> {
    switch (command.collection) {
      case 'pools': return state.pools
      case 'vms': return state.virtualMachines
      case 'teams': return state.teams
      case 'queues': return state.queues
      case 'presets': return state.presets
      case 'workers': return state.workers
    }
  }

  private _dependents (state: FleetState, command: RemoveCommand): string[] {
    switch (command.collection) {
      case 'pools': return this._dependentsOfPool(state, command.name)
      case 'teams': return this._dependentsOfTeam(state, command.name)
      case 'presets': return state.presetInForce?.name === command.name ? ['the preset in force'] : []
      case 'vms': return this._dependentsOfVirtualMachine(state, command.name)
      case 'queues': return []
      case 'workers': return [...state.tasks.values()].filter(task => task.phase === 'running' && task.worker === command.name).map(task => `task ${task.id}`)
    }
  }

  private _dependentsOfPool (state: FleetState, pool: string): string[] {
    return [
      ...[...state.virtualMachines.values()]
        .filter(virtualMachine => virtualMachine.value.pool === pool || virtualMachine.operation?.toPool === pool)
        .map(virtualMachine => `VM ${virtualMachine.value.id}`),
      ...[...state.queues.values()].filter(queue => queue.value.pool === pool).map(queue => `queue ${queue.value.name}`),
      ...[...state.presets.values()]
        .filter(preset => preset.value.pools.some(presetPool => presetPool.pool === pool))
        .map(preset => `preset ${preset.value.name}`)
    ]
  }

  private _dependentsOfTeam (state: FleetState, team: string): string[] {
    return [
      ...[...state.keys.values()]
        .filter(key => key.value.team === team && !key.value.isWithdrawn)
        .map(key => `key ${key.value.id}`),
      ...[...state.presets.values()]
        .filter(preset => preset.value.teams.some(presetTeam => presetTeam.team === team))
        .map(preset => `preset ${preset.value.name}`),
      ...(state.grantedUnits(team) > 0 ? ['running work'] : [])
    ]
  }

  private _dependentsOfVirtualMachine (state: FleetState, id: string): string[] {
    return [...state.waves.values()]
      .filter(wave => wave.phase !== 'finished' && wave.phase !== 'aborted' && wave.order.includes(id) && !wave.done.includes(id))
      .map(wave => `wave ${wave.name}`)
  }

  private _checkVirtualMachine (state: FleetState, command: RemoveCommand): Finding[] {
    if (command.collection !== 'vms') return []
    const virtualMachine = state.virtualMachines.get(command.name)
    if (!virtualMachine) return []
    if (virtualMachine.operation) return [{ path: '$.name', code: 'state', message: `has a ${virtualMachine.operation.kind} under way` }]
    return budgetFindings(state, virtualMachine)
  }
}
