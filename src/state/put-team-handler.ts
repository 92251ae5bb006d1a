/**
 * Decides `put-team`.
 */
import type { PutCommand } from '../schemas/put-command.js'
import type { FleetState } from './fleet-state.js'
import { PutHandler } from './put-handler.js'

/**
 * Creates or replaces a team. A lower limit than what is granted is accepted: no further
 * units are granted until holders have given the difference back.
 */
export class PutTeamHandler extends PutHandler<'put-team'> {
  override readonly kind = 'put-team'

  protected override versionOf (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-team' }>): number {
    return state.teams.get(value.name)?.version ?? 0
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-team' }>, version: number): void {
    state.teams.set(value.name, { value, version })
  }
}
