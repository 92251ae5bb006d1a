/**
 * The command `samphireglade state`.
 */
import type { Either } from 'purify-ts/Either'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Shows an overview of the state of the system. */
export class StateCommand extends OperatorCommand {
  override readonly usage = 'state'
  override readonly summary = 'Show members, leases, the preset in force and where the configuration is in force'

  override async run (_args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    return this.show('/state', context)
  }
}
