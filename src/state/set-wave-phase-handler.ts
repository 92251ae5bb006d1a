/**
 * Handler of the `set-wave-phase` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { WaveCommand } from '../schemas/wave-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'
import { versionFinding } from './version-finding.js'

/** Pauses, resumes, aborts or finishes a wave. Operations already in progress on its VMs always run to completion. */
export class SetWavePhaseHandler extends CommandHandler<'set-wave-phase'> {
  override readonly kind = 'set-wave-phase'

  override check (state: FleetState, command: Extract<WaveCommand, { kind: 'set-wave-phase' }>, _context: FoldContext): Finding[] {
    const wave = state.waves.get(command.name)
    if (!wave) return [{ path: '$.name', code: 'not-found', message: `wave ${command.name} does not exist` }]
    const findings = versionFinding('$.name', command.expectedVersion, wave.version)
    if (wave.phase === 'aborted' || wave.phase === 'finished') {
      findings.push({ path: '$.phase', code: 'state', message: `wave is ${wave.phase} for good` })
    }
    if (command.proof) findings.push(...leaseFindings(state, command.proof))
    return findings
  }

  override apply (state: FleetState, command: Extract<WaveCommand, { kind: 'set-wave-phase' }>, context: FoldContext): void {
    const wave = state.waves.get(command.name)
    if (!wave) return
    state.waves.set(command.name, { ...wave, phase: command.phase, reason: command.reason, version: context.offset })
    state.configurationOffset = context.offset
  }
}
