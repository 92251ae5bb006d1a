/**
 * Handler of the `activate-preset` command.
 */
import type { ActivatePresetCommand } from '../schemas/activate-preset-command.js'
import type { Finding } from '../schemas/finding.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { presetFindings } from './preset-findings.js'
import { versionFinding } from './version-finding.js'

/** Activates a preset. It replaces the preset previously in force at the same offset, so that exactly one is in force. */
export class ActivatePresetHandler extends CommandHandler<'activate-preset'> {
  override readonly kind = 'activate-preset'

  override check (state: FleetState, command: ActivatePresetCommand, _context: FoldContext): Finding[] {
    const preset = state.presets.get(command.preset)
    if (!preset) return [{ path: '$.preset', code: 'not-found', message: `preset ${command.preset} does not exist` }]
    return [
      ...versionFinding('$.preset', command.expectedVersion, state.presetInForce?.version ?? 0),
      ...presetFindings(state, preset.value)
    ]
  }

  override apply (state: FleetState, command: ActivatePresetCommand, context: FoldContext): void {
    state.presetInForce = { name: command.preset, version: context.offset }
    state.configurationOffset = context.offset
  }
}
