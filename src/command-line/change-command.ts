/**
 * `samphireglade change`.
 */
import type { Either } from 'purify-ts/Either'
import { ChangeWaiter } from './change-waiter.js'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Tells what became of a change, and waits for it with `--wait`. */
export class ChangeCommand extends OperatorCommand {
  override readonly usage = 'change <id>'
  override readonly summary = 'Tell whether a change was accepted and where it is in force'

  override async run (words: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const id = this.text(words, 'id')
    if (context.isWaiting) {
      const waited = await new ChangeWaiter(context.client, line => console.error(line)).wait(id, context.waitDeadline)
      if (waited.isLeft()) return waited
    }
    return this.show(`/changes/${encodeURIComponent(id)}`, context)
  }
}
