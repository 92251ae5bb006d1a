/**
 * The command `samphireglade put`.
 */
import { Left, type Either } from 'purify-ts/Either'
import type { Argv } from 'yargs'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'
import { readToml } from './read-toml.js'

/** Creates or replaces one object from a TOML file. */
export class PutObjectCommand extends OperatorCommand {
  override readonly usage = 'put <collection> <name>'
  override readonly summary = 'Create or replace one object from a TOML file'

  override options (parser: Argv): Argv {
    return parser.option('file', { type: 'string', demandOption: true, describe: 'TOML file with the object' })
  }

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const document = readToml(this.stringArgument(args, 'file'))
    if (document.isLeft()) return Left(document.extract() as CommandError)
    const path = `/${encodeURIComponent(this.stringArgument(args, 'collection'))}/${encodeURIComponent(this.stringArgument(args, 'name'))}`
    return this.change('PUT', path, document.extract() as object, context)
  }
}
