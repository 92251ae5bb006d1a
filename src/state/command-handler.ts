/**
 * How the fold decides one kind of command.
 */
import type { Command } from '../schemas/command.js'
import type { Finding } from '../schemas/finding.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/**
 * Decides and applies one kind of command.
 *
 * Both methods must be deterministic: every process folds the same records and has to
 * come to the same state. They take the time from the record, never from a clock.
 */
export abstract class CommandHandler<Kind extends Command['kind'] = Command['kind']> {
  /** Kind of command that the handler decides. */
  abstract readonly kind: Kind

  /**
   * Whether operators send the command. Decisions on such commands are kept for `changes/{id}`
   * and make repeated appends harmless; all others are harmless by themselves.
   */
  readonly isOperatorChange: boolean = true

  /** Lists everything that speaks against the command; empty accepts it. Must not change the state. */
  abstract check (state: FleetState, command: Extract<Command, { kind: Kind }>, context: FoldContext): Finding[]

  /** Changes the state; called only after `check` found nothing. */
  abstract apply (state: FleetState, command: Extract<Command, { kind: Kind }>, context: FoldContext): void
}
