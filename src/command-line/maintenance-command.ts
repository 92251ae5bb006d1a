/**
 * `samphireglade maintenance`.
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
      .option('rack', { type: 'array', string: true, describe: 'rack whose VMs are in the wave' })
      .option('pool', { type: 'array', string: true, describe: 'pool whose VMs are in the wave' })
      .option('zone', { type: 'array', string: true, describe: 'availability zone whose VMs are in the wave' })
      .option('at-once', { type: 'number', describe: 'most VMs out of service at once' })
  }

  override async run (words: Parameters<OperatorCommand['run']>[0], context: CommandContext): Promise<Either<CommandError, void>> {
    const action = this.text(words, 'action')
    const name = this.text(words, 'name')
    if (action !== 'plan' && action !== 'start') return this.change('POST', `/maintenance/${encodeURIComponent(name)}/${action}`, undefined, context)
    return this.change('POST', '/maintenance', {
      name,
      vms: this.texts(words, 'vm'),
      racks: this.texts(words, 'rack'),
      pools: this.texts(words, 'pool'),
      availabilityZones: this.texts(words, 'zone'),
      ...(typeof words['atOnce'] === 'number' ? { maximumAtOnce: words['atOnce'] } : {}),
      dryRun: action === 'plan'
    }, action === 'plan' ? { ...context, isWaiting: false } : context)
  }
}
