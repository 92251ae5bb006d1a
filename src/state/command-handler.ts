/**
 * Base class of the command handlers.
 */
import type { Command } from '../schemas/command.js'
import type { Finding } from '../schemas/finding.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/**
 * Checks and applies one kind of command.
 *
 * Both methods must be deterministic: every process applies the same records and must reach
 * the same state. They take the time from the record, never from a clock.
 */
export abstract class CommandHandler<Kind extends Command['kind'] = Command['kind']> {
  /** Kind of the commands that this class handles. */
  abstract readonly kind: Kind

  /**
   * Whether operators send the command. Decisions on such commands are stored for `changes/{id}`,
   * and a repeated append is recognized by its stored decision. All other commands are idempotent.
   */
  readonly isOperatorChange: boolean = true

  /** Returns every reason to refuse the command; an empty list accepts it. Must not change the state. */
  abstract check (state: FleetState, command: Extract<Command, { kind: Kind }>, context: FoldContext): Finding[]

  /** Applies the command to the state; called only if `check` returned an empty list. */
  abstract apply (state: FleetState, command: Extract<Command, { kind: Kind }>, context: FoldContext): void
}
