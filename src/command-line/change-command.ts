/**
 * The command `samphireglade change`.
 */
import type { Either } from 'purify-ts/Either'
import { ChangeWaiter } from './change-waiter.js'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Shows the status of a change; with `--wait`, waits until it is in force. */
export class ChangeCommand extends OperatorCommand {
  override readonly usage = 'change <id>'
  override readonly summary = 'Show whether a change was accepted and where it is in force'

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const id = this.stringArgument(args, 'id')
    if (context.shouldWait) {
      const waited = await new ChangeWaiter(context.client, line => console.error(line)).wait(id, context.waitDeadline)
      if (waited.isLeft()) return waited
    }
    return this.show(`/changes/${encodeURIComponent(id)}`, context)
  }
}
