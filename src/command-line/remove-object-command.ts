/**
 * The command `samphireglade remove`.
 */
import type { Either } from 'purify-ts/Either'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Removes one object; the server refuses it while other objects refer to the object. */
export class RemoveObjectCommand extends OperatorCommand {
  override readonly usage = 'remove <collection> <name>'
  override readonly summary = 'Remove one object to which no other object refers'

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    return this.change(
      'DELETE', `/${encodeURIComponent(this.stringArgument(args, 'collection'))}/${encodeURIComponent(this.stringArgument(args, 'name'))}`, undefined, context
    )
  }
}
