/**
 * Handler of the `put-team` command.
 */
import type { PutCommand } from '../schemas/put-command.js'
import type { Team } from '../schemas/team.js'
import { changeGrantedUnits } from './change-granted-units.js'
import type { FleetState } from './fleet-state.js'
import { PutHandler } from './put-handler.js'

/**
 * Creates or replaces a team. The upper limit of a new team is divided evenly among the
 * registered entry processes at the same offset, so that the team has units at once even if
 * the log becomes unreachable afterwards. An upper limit below the granted units is accepted:
 * no further units are granted until holders have released the difference.
 */
export class PutTeamHandler extends PutHandler<'put-team'> {
  override readonly kind = 'put-team'

  protected override versionOf (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-team' }>): number {
    return state.teams.get(value.name)?.version ?? 0
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-team' }>, version: number): void {
    const isNew = !state.teams.has(value.name)
    state.teams.set(value.name, { value, version })
    if (isNew) this._grantEvenly(state, value)
  }

  private _grantEvenly (state: FleetState, { name, upperLimit }: Team): void {
    const entryProcesses = [...state.members.values()].filter(member => member.role === 'entry')
    const units = Math.floor(upperLimit / Math.max(1, entryProcesses.length))
    if (units === 0) return
    for (const { id, incarnation } of entryProcesses) changeGrantedUnits(state, { member: id, incarnation }, name, units)
  }
}
