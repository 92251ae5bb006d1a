/**
 * Presets in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { Preset } from '../schemas/preset.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ObjectView } from './object-view.js'

/** Shows presets and whether each is in force. */
export class PresetCollection extends ObjectCollection<Preset> {
  override readonly name = 'presets'
  override readonly schema = Preset

  override list (state: FleetState): ObjectView[] {
    return [...state.presets.values()].map(({ value, version }) => ({
      name: value.name,
      version,
      document: { ...value, isInForce: state.presetInForce?.name === value.name }
    }))
  }

  protected override command (value: Preset, expectedVersion: number): Command {
    return { kind: 'put-preset', value, expectedVersion }
  }
}
