/**
 * Decides `put-team`.
 */
import type { PutCommand } from '../schemas/put-command.js'
import type { Team } from '../schemas/team.js'
import { changeUnits } from './change-granted-units.js'
import type { FleetState } from './fleet-state.js'
import { PutHandler } from './put-handler.js'

/**
 * Creates or replaces a team. A new team's limit is divided evenly among the living entry
 * processes at the same offset, so that it has units from its first moment, whatever
 * happens to the log next. A lower limit than what is granted is accepted: no further
 * units are granted until holders have given the difference back.
 */
export class PutTeamHandler extends PutHandler<'put-team'> {
  override readonly kind = 'put-team'

  protected override versionOf (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-team' }>): number {
    return state.teams.get(value.name)?.version ?? 0
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-team' }>, version: number): void {
    const isNew = !state.teams.has(value.name)
    state.teams.set(value.name, { value, version })
    if (isNew) this._divide(state, value)
  }

  private _divide (state: FleetState, { name, upperLimit }: Team): void {
    const entries = [...state.members.values()].filter(member => member.role === 'entry')
    const units = Math.floor(upperLimit / Math.max(1, entries.length))
    if (units === 0) return
    for (const { id, incarnation } of entries) changeUnits(state, { member: id, incarnation }, name, units)
  }
}
