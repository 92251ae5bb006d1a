/**
 * The command `samphireglade activate`.
 */
import type { Either } from 'purify-ts/Either'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Puts a preset in force. */
export class ActivateCommand extends OperatorCommand {
  override readonly usage = 'activate <preset>'
  override readonly summary = 'Put a preset in force'

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    return this.change('POST', `/presets/${encodeURIComponent(this.stringArgument(args, 'preset'))}/activate`, undefined, context)
  }
}
