/**
 * The command `samphireglade forget`.
 */
import type { Either } from 'purify-ts/Either'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Declares that a process has ended for good, which the operator must know for certain. */
export class ForgetCommand extends OperatorCommand {
  override readonly usage = 'forget <member>'
  override readonly summary = 'Declare that a process has certainly ended for good, so that its part of the limits is released'

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    return this.change('POST', `/members/${encodeURIComponent(this.stringArgument(args, 'member'))}/forget`, undefined, context)
  }
}
