/**
 * Handler of the `withdraw-key` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { KeyCommand } from '../schemas/key-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Withdraws a key permanently. Withdrawing it again is accepted and changes nothing. */
export class WithdrawKeyHandler extends CommandHandler<'withdraw-key'> {
  override readonly kind = 'withdraw-key'

  override check (state: FleetState, command: Extract<KeyCommand, { kind: 'withdraw-key' }>, _context: FoldContext): Finding[] {
    if (state.keys.has(command.keyId)) return []
    return [{ path: '$.keyId', code: 'not-found', message: `key ${command.keyId} does not exist` }]
  }

  override apply (state: FleetState, command: Extract<KeyCommand, { kind: 'withdraw-key' }>, context: FoldContext): void {
    const key = state.keys.get(command.keyId)
    if (!key || key.value.isWithdrawn) return
    state.keys.set(command.keyId, { value: { ...key.value, isWithdrawn: true }, version: context.offset })
    state.configurationOffset = context.offset
  }
}
