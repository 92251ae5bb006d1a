/**
 * The command `samphireglade key`.
 */
import type { Either } from 'purify-ts/Either'
import type { Argv } from 'yargs'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Grants or withdraws a key. */
export class KeyOperatorCommand extends OperatorCommand {
  override readonly usage = 'key <action> <subject>'
  override readonly summary = 'Grant a team a new key, which is shown once (key grant TEAM), or withdraw a key for good (key withdraw ID)'

  override options (parser: Argv): Argv {
    return parser
      .positional('action', { choices: ['grant', 'withdraw'] as const })
      .option('queue', { type: 'array', string: true, describe: 'queue that the key is valid for; repeat for more; default: all queues' })
  }

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const subject = this.stringArgument(args, 'subject')
    if (args['action'] === 'withdraw') return this.change('DELETE', `/keys/${encodeURIComponent(subject)}`, undefined, context)
    return this.change('POST', '/keys', { team: subject, queues: this.stringArguments(args, 'queue') }, context)
  }
}
