/**
 * Base of the commands of the operators' program.
 */
import type { Argv, ArgumentsCamelCase } from 'yargs'
import { Left, type Either } from 'purify-ts/Either'
import { ChangeWaiter } from './change-waiter.js'
import type { CommandContext } from './command-context.js'
import { CommandError } from './command-error.js'
import { printDocument } from './print-document.js'

/** Arguments as yargs parses them. */
type Arguments = ArgumentsCamelCase<{ [name: string]: unknown }>

/** A command with its help text. */
export abstract class OperatorCommand {
  /** Name and positional arguments, in the notation of yargs. */
  abstract readonly usage: string

  /** Help text of one line. */
  abstract readonly summary: string

  /** Declares the options of the command. Default: none. */
  options (parser: Argv): Argv {
    return parser
  }

  /** Runs the command. */
  abstract run (args: Arguments, context: CommandContext): Promise<Either<CommandError, void>>

  /** Gets a document and prints it. */
  protected async show (path: string, { client, isJson }: CommandContext): Promise<Either<CommandError, void>> {
    const response = await client.call({ method: 'GET', path })
    return response.map(document => printDocument(document, isJson))
  }

  /** Makes a change, prints the response, and with `--wait` waits until the change is in force. */
  protected async change (
    method: 'PUT' | 'POST' | 'DELETE', path: string, document: object | undefined, context: CommandContext
  ): Promise<Either<CommandError, void>> {
    const { client, changeId, ifMatch, isJson, shouldWait, waitDeadline } = context
    const response = await client.call({ method, path, changeId, ...(document ? { document } : {}), ...(ifMatch === undefined ? {} : { ifMatch }) })
    if (response.isLeft()) return Left(response.extract() as CommandError)
    response.ifRight(result => printDocument(result, isJson))
    const status = response.map(result => result['status']).orDefault('')
    if (shouldWait) return new ChangeWaiter(client, line => console.error(line)).wait(changeId, waitDeadline)
    if (status === 'unknown') return Left(new CommandError('unknown', `change ${changeId} is not decided yet; see: samphireglade change ${changeId}`))
    return response.map(() => undefined)
  }

  /** Returns a positional argument or an option as a string, or an empty string if it is missing. */
  protected stringArgument (args: Arguments, name: string): string {
    return String(args[name] ?? '')
  }

  /** Returns the values of an option that may be repeated. */
  protected stringArguments (args: Arguments, name: string): string[] {
    const value = args[name]
    return Array.isArray(value) ? value.map(String) : []
  }
}
