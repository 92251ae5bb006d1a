/**
 * Base class of the handlers that create or replace a configuration object.
 */
import type { Finding } from '../schemas/finding.js'
import type { PutCommand } from '../schemas/put-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { versionFinding } from './version-finding.js'

/** Checks the object's version and references, then stores it; subclasses override the hooks. */
export abstract class PutHandler<Kind extends PutCommand['kind']> extends CommandHandler<Kind> {
  override check (state: FleetState, command: Extract<PutCommand, { kind: Kind }>, _context: FoldContext): Finding[] {
    return [
      ...versionFinding('$', command.expectedVersion, this.versionOf(state, command)),
      ...this.checkReferences(state, command)
    ]
  }

  override apply (state: FleetState, command: Extract<PutCommand, { kind: Kind }>, context: FoldContext): void {
    this.store(state, command, context.offset)
    state.configurationOffset = context.offset
  }

  /** Current version of the object that the command replaces; 0 for none. */
  protected abstract versionOf (state: FleetState, command: Extract<PutCommand, { kind: Kind }>): number

  /** Stores the object with its new version. */
  protected abstract store (state: FleetState, command: Extract<PutCommand, { kind: Kind }>, version: number): void

  /** Checks the object against the rest of the configuration. Default: no checks. */
  protected checkReferences (_state: FleetState, _command: Extract<PutCommand, { kind: Kind }>): Finding[] {
    return []
  }
}
