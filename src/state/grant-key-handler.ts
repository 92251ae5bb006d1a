/**
 * Handler of the `grant-key` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { KeyCommand } from '../schemas/key-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Adds a key to a team. The id of a withdrawn key can't be used again. */
export class GrantKeyHandler extends CommandHandler<'grant-key'> {
  override readonly kind = 'grant-key'

  override check (state: FleetState, command: Extract<KeyCommand, { kind: 'grant-key' }>, _context: FoldContext): Finding[] {
    const { value } = command
    const findings: Finding[] = []
    if (state.keys.has(value.id)) findings.push({ path: '$.id', code: 'duplicate', message: `key ${value.id} exists or existed` })
    if (!state.teams.has(value.team)) findings.push({ path: '$.team', code: 'not-found', message: `team ${value.team} does not exist` })
    value.queues.forEach((queue, index) => {
      if (!state.queues.has(queue)) {
        findings.push({ path: `$.queues[${index}]`, code: 'not-found', message: `queue ${queue} does not exist` })
      }
    })
    return findings
  }

  override apply (state: FleetState, command: Extract<KeyCommand, { kind: 'grant-key' }>, context: FoldContext): void {
    state.keys.set(command.value.id, { value: { ...command.value, isWithdrawn: false }, version: context.offset })
    state.configurationOffset = context.offset
  }
}
