/**
 * Presets in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { Preset } from '../schemas/preset.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ShownObject } from './shown-object.js'

/** Shows presets and which one is in force. */
export class PresetCollection extends ObjectCollection<Preset> {
  override readonly name = 'presets'
  override readonly schema = Preset

  override list (state: FleetState): ShownObject[] {
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
