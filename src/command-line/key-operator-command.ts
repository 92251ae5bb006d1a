/**
 * `samphireglade key`.
 */
import type { Either } from 'purify-ts/Either'
import type { Argv } from 'yargs'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Grants or withdraws a key. */
export class KeyOperatorCommand extends OperatorCommand {
  override readonly usage = 'key <action> <subject>'
  override readonly summary = 'key grant TEAM shows a new key once; key withdraw ID ends it for good'

  override options (parser: Argv): Argv {
    return parser
      .positional('action', { choices: ['grant', 'withdraw'] as const })
      .option('queue', { type: 'array', string: true, describe: 'queue that a granted key opens; repeat for more; none: all' })
  }

  override async run (words: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const subject = this.text(words, 'subject')
    if (words['action'] === 'withdraw') return this.change('DELETE', `/keys/${encodeURIComponent(subject)}`, undefined, context)
    return this.change('POST', '/keys', { team: subject, queues: this.texts(words, 'queue') }, context)
  }
}
