/**
 * `samphireglade zone`.
 */
import type { Either } from 'purify-ts/Either'
import type { Argv } from 'yargs'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Takes an availability zone out or back. */
export class ZoneCommand extends OperatorCommand {
  override readonly usage = 'zone <direction> <name>'
  override readonly summary = 'Take an availability zone out of service or back'

  override options (parser: Argv): Argv {
    return parser
      .positional('direction', { choices: ['out', 'back'] as const })
      .option('force', { type: 'boolean', default: false, describe: 'take it out even if an availability budget breaks' })
  }

  override async run (words: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const path = `/availability-zones/${encodeURIComponent(this.text(words, 'name'))}/${this.text(words, 'direction')}`
    return this.change('POST', path, { force: words['force'] === true }, context)
  }
}
