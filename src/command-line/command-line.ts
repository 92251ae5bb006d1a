/**
 * The operators' program: words in, exit code out.
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
import { PresetCommand } from './preset-command.js'
import { PutObjectCommand } from './put-object-command.js'
import { RemoveObjectCommand } from './remove-object-command.js'
import { StateCommand } from './state-command.js'
import { ZoneCommand } from './zone-command.js'

/** Default of `--timeout`, in seconds. */
const DEFAULT_TIMEOUT_SECONDS = 30

/** Exit code for words that don't make a command. */
const EXIT_USAGE = 2

/** All commands in the order of the help. */
const COMMANDS: readonly OperatorCommand[] = [
  new GetCommand(), new ApplyCommand(), new PutObjectCommand(), new RemoveObjectCommand(), new KeyOperatorCommand(),
  new PresetCommand(), new ZoneCommand(), new MoveCommand(), new MaintenanceCommand(), new ForgetCommand(),
  new ChangeCommand(), new StateCommand()
]

/** Parses and runs one command line. */
export class CommandLine {
  private _exitCode = 0

  /** @param _environment variables of the process, for the token. */
  constructor (private readonly _environment: NodeJS.ProcessEnv) {}

  /** Runs the words and returns the exit code. */
  async run (words: readonly string[]): Promise<number> {
    const parser = yargs([...words])
      .scriptName('samphireglade')
      // One word for each --server, so that the command may follow it.
      .parserConfiguration({ 'greedy-arrays': false })
      .usage('$0 [options] <command>')
      .option('server', { type: 'array', string: true, default: ['http://127.0.0.1:7080'], describe: 'control daemon; repeat for more, the next is tried when one doesn\'t answer' })
      .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
      .option('wait', { type: 'boolean', default: false, describe: 'wait until the change is in force on every entry VM' })
      .option('timeout', { type: 'number', default: DEFAULT_TIMEOUT_SECONDS, describe: 'longest wait in seconds' })
      .option('change-id', { type: 'string', describe: 'identity of the change; sent twice, it changes nothing twice' })
      .option('if-match', { type: 'number', describe: 'version that the change is based on' })
      .example('$0 get pools', 'lists the pools')
      .example('$0 apply examples/lone-star.toml --wait', 'publishes a deployment and waits until it is in force')
      .example('$0 zone out b --wait', 'takes availability zone b out')
      .example('$0 maintenance start kernel-upgrade --zone a --at-once 3', 'maintains all VMs of zone a')
      .epilogue('The operator token is taken from the variable SAMPHIREGLADE_TOKEN.')
      .completion('completion', 'Print a script for shell completion')
      .demandCommand(1, 'a command is needed')
      .strict()
      .exitProcess(false)
      .fail((message, error) => this._failUsage(message, error))
    for (const command of COMMANDS) {
      parser.command(command.usage, command.summary, arguments_ => command.options(arguments_), async arguments_ => {
        this._finish(await command.run(arguments_, this._context(arguments_)))
      })
    }
    try {
      await parser.parseAsync()
    } catch {
      // Said and counted by `_failUsage`.
    }
    return this._exitCode
  }

  private _context (words: ArgumentsCamelCase<{ [name: string]: unknown }>): CommandContext {
    const changeId = words['changeId']
    const ifMatch = words['ifMatch']
    return {
      client: new AdministrationClient((words['server'] as string[]), this._environment['SAMPHIREGLADE_TOKEN'] ?? ''),
      isJson: words['json'] === true,
      isWaiting: words['wait'] === true,
      waitDeadline: Date.now() + Number(words['timeout']) * 1_000,
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
    this._exitCode = EXIT_USAGE
    console.error(message ?? error?.message)
    throw error ?? new CommandError('usage', message)
  }
}
