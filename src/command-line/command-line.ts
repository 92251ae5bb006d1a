/**
 * Command line of the operators' program: parses the arguments and runs a command.
 */
import { randomUUID } from 'node:crypto'
import type { Either } from 'purify-ts/Either'
import yargs, { type ArgumentsCamelCase } from 'yargs'
import { AdministrationClient } from './administration-client.js'
import { ApplyCommand } from './apply-command.js'
import { ChangeCommand } from './change-command.js'
import type { CommandContext } from './command-context.js'
import { CommandError } from './command-error.js'
import { ForgetCommand } from './forget-command.js'
import { GetCommand } from './get-command.js'
import { KeyOperatorCommand } from './key-operator-command.js'
import { MaintenanceCommand } from './maintenance-command.js'
import { MoveCommand } from './move-command.js'
import type { OperatorCommand } from './operator-command.js'
import { ActivateCommand } from './activate-command.js'
import { PutObjectCommand } from './put-object-command.js'
import { RemoveObjectCommand } from './remove-object-command.js'
import { StateCommand } from './state-command.js'
import { ZoneCommand } from './zone-command.js'

/** Default of `--timeout`, in seconds. */
const DEFAULT_TIMEOUT_SECONDS = 30

/** Exit code for an invalid command line. */
const EXIT_INVALID_USAGE = 2

/** All commands in the order in which the help lists them. */
const COMMANDS: readonly OperatorCommand[] = [
  new GetCommand(), new ApplyCommand(), new PutObjectCommand(), new RemoveObjectCommand(), new KeyOperatorCommand(),
  new ActivateCommand(), new ZoneCommand(), new MoveCommand(), new MaintenanceCommand(), new ForgetCommand(),
  new ChangeCommand(), new StateCommand()
]

/** Parses and runs one command line. */
export class CommandLine {
  private _exitCode = 0

  /** @param _environment environment variables, which hold the token. */
  constructor (private readonly _environment: NodeJS.ProcessEnv) {}

  /** Runs the command that the arguments name and returns the exit code. */
  async run (argv: readonly string[]): Promise<number> {
    const parser = yargs([...argv])
      .scriptName('samphireglade')
      // Each --server takes one value, so that the command may follow it.
      .parserConfiguration({ 'greedy-arrays': false })
      .usage('$0 [options] <command>')
      .option('server', {
        type: 'array', string: true, default: ['http://127.0.0.1:7080'], describe: 'URL of a control daemon; repeat for more: if one doesn\'t respond, the next is tried'
      })
      .option('json', { type: 'boolean', default: false, describe: 'print JSON instead of tables' })
      .option('wait', { type: 'boolean', default: false, describe: 'wait until the change is in force on every entry VM' })
      .option('timeout', { type: 'number', default: DEFAULT_TIMEOUT_SECONDS, describe: 'longest time that --wait waits, in seconds' })
      .option('change-id', { type: 'string', describe: 'identifier of the change; a change that is sent again with the same identifier is made once' })
      .option('if-match', { type: 'number', describe: 'version that the change is based on; it is refused if the object has another version' })
      .example('$0 get pools', 'lists the pools')
      .example('$0 apply examples/lone-star.toml --wait', 'publishes a deployment and waits until it is in force')
      .example('$0 zone out b --wait', 'takes availability zone b out of service')
      .example('$0 maintenance start kernel-upgrade --zone a --at-once 3', 'maintains all VMs of zone a, at most 3 at once')
      .epilogue('The operator token is read from the environment variable SAMPHIREGLADE_TOKEN.')
      .completion('completion', 'Print a script for shell completion')
      .demandCommand(1, 'a command is needed')
      .strict()
      .exitProcess(false)
      .fail((message, error) => this._failUsage(message, error))
    for (const command of COMMANDS) {
      parser.command(command.usage, command.summary, args => command.options(args), async args => {
        this._finish(await command.run(args, this._createContext(args)))
      })
    }
    try {
      await parser.parseAsync()
    } catch {
      // `_failUsage` has printed the error and set the exit code.
    }
    return this._exitCode
  }

  private _createContext (parsedArguments: ArgumentsCamelCase<{ [name: string]: unknown }>): CommandContext {
    const changeId = parsedArguments['changeId']
    const ifMatch = parsedArguments['ifMatch']
    return {
      client: new AdministrationClient((parsedArguments['server'] as string[]), this._environment['SAMPHIREGLADE_TOKEN'] ?? ''),
      isJson: parsedArguments['json'] === true,
      shouldWait: parsedArguments['wait'] === true,
      waitDeadline: Date.now() + Number(parsedArguments['timeout']) * 1_000,
      changeId: typeof changeId === 'string' ? changeId : randomUUID(),
      ifMatch: typeof ifMatch === 'number' ? ifMatch : undefined
    }
  }

  private _finish (result: Either<CommandError, void>): void {
    result.ifLeft(error => {
      console.error(error.message)
      for (const { path, message } of error.findings) console.error(`  ${path}: ${message}`)
      this._exitCode = error.exitCode
    })
  }

  private _failUsage (message: string, error: Error | undefined): never {
    this._exitCode = EXIT_INVALID_USAGE
    console.error(message ?? error?.message)
    throw error ?? new CommandError('usage', message)
  }
}
