/**
 * The command `samphireglade zone`.
 */
import type { Either } from 'purify-ts/Either'
import type { Argv } from 'yargs'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Takes an availability zone out of service or returns it to service. */
export class ZoneCommand extends OperatorCommand {
  override readonly usage = 'zone <direction> <name>'
  override readonly summary = 'Take an availability zone out of service or return it to service'

  override options (parser: Argv): Argv {
    return parser
      .positional('direction', { choices: ['out', 'back'] as const })
      .option('force', { type: 'boolean', default: false, describe: 'take the zone out of service even if that violates an availability budget' })
  }

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const path = `/availability-zones/${encodeURIComponent(this.stringArgument(args, 'name'))}/${this.stringArgument(args, 'direction')}`
    return this.change('POST', path, { force: args['force'] === true }, context)
  }
}
