/**
 * The command `samphireglade maintenance`.
 */
import type { Either } from 'purify-ts/Either'
import type { Argv } from 'yargs'
import type { CommandContext } from './command-context.js'
import type { CommandError } from './command-error.js'
import { OperatorCommand } from './operator-command.js'

/** Plans, starts, pauses, resumes or aborts a maintenance wave. */
export class MaintenanceCommand extends OperatorCommand {
  override readonly usage = 'maintenance <action> <name>'
  override readonly summary = 'Plan, start, pause, resume or abort a maintenance wave'

  override options (parser: Argv): Argv {
    return parser
      .positional('action', { choices: ['plan', 'start', 'pause', 'resume', 'abort'] as const })
      .option('vm', { type: 'array', string: true, describe: 'VM of the wave; repeat for more' })
      .option('rack', { type: 'array', string: true, describe: 'rack whose VMs are in the wave; repeat for more' })
      .option('pool', { type: 'array', string: true, describe: 'pool whose VMs are in the wave; repeat for more' })
      .option('zone', { type: 'array', string: true, describe: 'availability zone whose VMs are in the wave; repeat for more' })
      .option('at-once', { type: 'number', describe: 'maximum number of VMs out of service at once' })
  }

  override async run (args: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const action = this.stringArgument(args, 'action')
    const name = this.stringArgument(args, 'name')
    if (action !== 'plan' && action !== 'start') return this.change('POST', `/maintenance/${encodeURIComponent(name)}/${action}`, undefined, context)
    return this.change('POST', '/maintenance', {
      name,
      vms: this.stringArguments(args, 'vm'),
      racks: this.stringArguments(args, 'rack'),
      pools: this.stringArguments(args, 'pool'),
      availabilityZones: this.stringArguments(args, 'zone'),
      ...(typeof args['atOnce'] === 'number' ? { maximumAtOnce: args['atOnce'] } : {}),
      dryRun: action === 'plan'
    }, action === 'plan' ? { ...context, shouldWait: false } : context)
  }
}
