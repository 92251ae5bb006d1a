/**
 * The command `samphireglade move`.
 */
import type { Either } from 'purify-ts/Either'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Moves a VM to another pool. */
export class MoveCommand extends OperatorCommand {
  override readonly usage = 'move <vm> <pool>'
  override readonly summary = 'Move a VM to another pool; it is drained and rebooted'

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    return this.change('POST', `/vms/${encodeURIComponent(this.stringArgument(args, 'vm'))}/move`, { toPool: this.stringArgument(args, 'pool') }, context)
  }
}
