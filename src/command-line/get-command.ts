/**
 * The command `samphireglade get`.
 */
import type { Either } from 'purify-ts/Either'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Lists a collection or shows one object. */
export class GetCommand extends OperatorCommand {
  override readonly usage = 'get <collection> [name]'
  override readonly summary = 'List pools, vms, teams, queues, presets, keys, availability-zones or maintenance, or show one of them'

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const name = args['name'] === undefined ? '' : `/${encodeURIComponent(this.stringArgument(args, 'name'))}`
    return this.show(`/${encodeURIComponent(this.stringArgument(args, 'collection'))}${name}`, context)
  }
}
