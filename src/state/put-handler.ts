/**
 * What all commands that put one configuration object have in common.
 */
import type { Finding } from '../schemas/finding.js'
import type { PutCommand } from '../schemas/put-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { versionFinding } from './version-finding.js'

/** Checks the version, then what the object refers to; subclasses override the hooks. */
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

  /** Present version of the object with the same name; 0 for none. */
  protected abstract versionOf (state: FleetState, command: Extract<PutCommand, { kind: Kind }>): number

  /** Writes the object down with its new version. */
  protected abstract store (state: FleetState, command: Extract<PutCommand, { kind: Kind }>, version: number): void

  /** Checks the object against the others. Default: nothing to check. */
  protected checkReferences (_state: FleetState, _command: Extract<PutCommand, { kind: Kind }>): Finding[] {
    return []
  }
}
