/**
 * Handler of the `start-wave` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { WaveCommand } from '../schemas/wave-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Starts a maintenance wave. Its VMs must exist and must not be pending in another active wave. */
export class StartWaveHandler extends CommandHandler<'start-wave'> {
  override readonly kind = 'start-wave'

  override check (state: FleetState, command: Extract<WaveCommand, { kind: 'start-wave' }>, _context: FoldContext): Finding[] {
    const findings: Finding[] = []
    if (state.waves.has(command.name)) findings.push({ path: '$.name', code: 'duplicate', message: `wave ${command.name} exists` })
    const waveByVirtualMachine = this._activeWaveByVirtualMachine(state)
    const seen = new Set<string>()
    command.order.forEach((id, index) => {
      const path = `$.order[${index}]`
      if (!state.virtualMachines.has(id)) findings.push({ path, code: 'not-found', message: `VM ${id} does not exist` })
      if (seen.has(id)) findings.push({ path, code: 'duplicate', message: `VM ${id} is named twice` })
      const wave = waveByVirtualMachine.get(id)
      if (wave) findings.push({ path, code: 'in-use', message: `VM ${id} is in wave ${wave}` })
      seen.add(id)
    })
    return findings
  }

  override apply (state: FleetState, command: Extract<WaveCommand, { kind: 'start-wave' }>, context: FoldContext): void {
    const { name, order, maximumAtOnce } = command
    state.waves.set(name, { name, order, maximumAtOnce, phase: 'running', done: [], reason: '', version: context.offset })
    state.configurationOffset = context.offset
  }

  private _activeWaveByVirtualMachine (state: FleetState): Map<string, string> {
    const waveByVirtualMachine = new Map<string, string>()
    for (const wave of state.waves.values()) {
      if (wave.phase === 'finished' || wave.phase === 'aborted') continue
      const done = new Set(wave.done)
      for (const id of wave.order) if (!done.has(id)) waveByVirtualMachine.set(id, wave.name)
    }
    return waveByVirtualMachine
  }
}
