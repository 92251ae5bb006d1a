/**
 * Handler of the `put-preset` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { PutCommand } from '../schemas/put-command.js'
import type { FleetState } from './fleet-state.js'
import { presetFindings } from './preset-findings.js'
import { PutHandler } from './put-handler.js'

/** Creates or replaces a preset. A replacement of the preset in force takes effect at once, so the fleet must be able to satisfy it. */
export class PutPresetHandler extends PutHandler<'put-preset'> {
  override readonly kind = 'put-preset'

  protected override versionOf (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-preset' }>): number {
    return state.presets.get(value.name)?.version ?? 0
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-preset' }>, version: number): void {
    state.presets.set(value.name, { value, version })
  }

  protected override checkReferences (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-preset' }>): Finding[] {
    const findings = [
      ...this._checkNames('pools', value.pools.map(presetPool => presetPool.pool), state.pools),
      ...this._checkNames('teams', value.teams.map(presetTeam => presetTeam.team), state.teams)
    ]
    if (state.presetInForce?.name === value.name) findings.push(...presetFindings(state, value))
    return findings
  }

  private _checkNames (collection: 'pools' | 'teams', names: string[], known: ReadonlyMap<string, object>): Finding[] {
    const field = collection === 'pools' ? 'pool' : 'team'
    return names.flatMap((name, index): Finding[] => {
      const path = `$.${collection}[${index}].${field}`
      if (!known.has(name)) return [{ path, code: 'not-found', message: `${field} ${name} does not exist` }]
      if (names.indexOf(name) !== index) return [{ path, code: 'duplicate', message: `${field} ${name} is named twice` }]
      return []
    })
  }
}
