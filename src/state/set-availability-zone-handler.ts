/**
 * Decides `set-availability-zone`.
 */
import type { AvailabilityZoneCommand } from '../schemas/availability-zone-command.js'
import type { Finding } from '../schemas/finding.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { versionFinding } from './version-finding.js'

/** Takes a zone out or back. A zone that comes back starts slowly, so that it isn't overrun. */
export class SetAvailabilityZoneHandler extends CommandHandler<'set-availability-zone'> {
  override readonly kind = 'set-availability-zone'

  override check (state: FleetState, command: AvailabilityZoneCommand, _context: FoldContext): Finding[] {
    const { availabilityZone } = command
    if (!this._isKnown(state, availabilityZone)) {
      return [{ path: '$.availabilityZone', code: 'not-found', message: `no VM, worker or process is in availability zone ${availabilityZone}` }]
    }
    const version = state.availabilityZones.get(availabilityZone)?.version ?? 0
    return [
      ...versionFinding('$.availabilityZone', command.expectedVersion, version),
      ...(command.isOut && !command.force ? this._checkBudgets(state, availabilityZone) : [])
    ]
  }

  override apply (state: FleetState, command: AvailabilityZoneCommand, context: FoldContext): void {
    const { availabilityZone, isOut } = command
    const wasOut = state.isZoneOut(availabilityZone)
    state.availabilityZones.set(availabilityZone, { name: availabilityZone, isOut, version: context.offset })
    state.configurationOffset = context.offset
    if (wasOut && !isOut) this._startSlowly(state, availabilityZone, context)
  }

  private _isKnown (state: FleetState, availabilityZone: string): boolean {
    if (state.availabilityZones.has(availabilityZone)) return true
    const machines = [...state.virtualMachines.values(), ...state.workers.values()].map(({ value }) => value)
    return [...machines, ...state.members.values()].some(place => place.availabilityZone === availabilityZone)
  }

  private _checkBudgets (state: FleetState, availabilityZone: string): Finding[] {
    return [...state.pools.keys()].flatMap((pool): Finding[] => {
      const serving = state.servingVirtualMachines(pool)
      const remaining = serving.filter(machine => machine.value.availabilityZone !== availabilityZone).length
      const minimum = state.minimumServing(pool)
      if (remaining === serving.length || remaining >= minimum) return []
      return [{
        path: '$.availabilityZone',
        code: 'budget',
        message: `would leave ${remaining} VMs serving in pool ${pool}; its availability budget asks for ${minimum} (force to go on)`
      }]
    })
  }

  private _startSlowly (state: FleetState, availabilityZone: string, context: FoldContext): void {
    for (const [id, machine] of state.virtualMachines) {
      if (machine.value.availabilityZone !== availabilityZone) continue
      const slowStart = state.pools.get(machine.value.pool)?.value.slowStartMilliseconds ?? 0
      state.virtualMachines.set(id, { ...machine, slowStartDeadline: context.time + slowStart })
    }
  }
}
