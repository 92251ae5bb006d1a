/**
 * `samphireglade forget`.
 */
import type { Either } from 'purify-ts/Either'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Declares a process ended that certainly runs no more. */
export class ForgetCommand extends OperatorCommand {
  override readonly usage = 'forget <member>'
  override readonly summary = 'Declare a process ended that certainly runs no more, so that its part of the limits comes back'

  override async run (words: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    return this.change('POST', `/members/${encodeURIComponent(this.text(words, 'member'))}/forget`, undefined, context)
  }
}
