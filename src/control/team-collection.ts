/**
 * Teams in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { Team } from '../schemas/team.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ObjectView } from './object-view.js'

/** Shows teams with the share and upper limit in force and the units granted. */
export class TeamCollection extends ObjectCollection<Team> {
  override readonly name = 'teams'
  override readonly schema = Team

  override list (state: FleetState): ObjectView[] {
    return [...state.teams.values()].map(({ value, version }) => ({
      name: value.name,
      version,
      document: {
        ...value,
        shareInForce: state.share(value.name),
        upperLimitInForce: state.upperLimit(value.name),
        grantedUnits: state.grantedUnits(value.name)
      }
    }))
  }

  protected override command (value: Team, expectedVersion: number): Command {
    return { kind: 'put-team', value, expectedVersion }
  }
}
