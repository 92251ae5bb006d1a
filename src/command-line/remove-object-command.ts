/**
 * `samphireglade remove`.
 */
import type { Either } from 'purify-ts/Either'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Removes one object. */
export class RemoveObjectCommand extends OperatorCommand {
  override readonly usage = 'remove <collection> <name>'
  override readonly summary = 'Remove one object that nothing refers to'

  override async run (words: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    return this.change('DELETE', `/${encodeURIComponent(this.text(words, 'collection'))}/${encodeURIComponent(this.text(words, 'name'))}`, undefined, context)
  }
}
