/**
 * One command of the operators' program.
 */
import type { Argv, ArgumentsCamelCase } from 'yargs'
import { Left, type Either } from 'purify-ts/Either'
import { ChangeWaiter } from './change-waiter.js'
import type { CommandContext } from './command-context.js'
import { CommandError } from './command-error.js'
import { printDocument } from './print-document.js'

/** Arguments as yargs hands them over. */
type Arguments = ArgumentsCamelCase<{ [name: string]: unknown }>

/** A command with its help. */
export abstract class OperatorCommand {
  /** Words and positional arguments, in yargs' form. */
  abstract readonly usage: string

  /** One line of help. */
  abstract readonly summary: string

  /** Options of the command. Default: none. */
  options (parser: Argv): Argv {
    return parser
  }

  /** Carries the command out. */
  abstract run (words: Arguments, context: CommandContext): Promise<Either<CommandError, void>>

  /** Shows a document. */
  protected async show (path: string, { client, isJson }: CommandContext): Promise<Either<CommandError, void>> {
    const answer = await client.call({ method: 'GET', path })
    return answer.map(document => printDocument(document, isJson))
  }

  /** Makes a change, prints what became of it, and waits until it is in force if asked to. */
  protected async change (method: 'PUT' | 'POST' | 'DELETE', path: string, document: object | undefined, context: CommandContext): Promise<Either<CommandError, void>> {
    const { client, changeId, ifMatch, isJson, isWaiting, waitDeadline } = context
    const answer = await client.call({ method, path, changeId, ...(document ? { document } : {}), ...(ifMatch === undefined ? {} : { ifMatch }) })
    if (answer.isLeft()) return Left(answer.extract() as CommandError)
    answer.ifRight(result => printDocument(result, isJson))
    const status = answer.map(result => result['status']).orDefault('')
    if (isWaiting) return new ChangeWaiter(client, line => console.error(line)).wait(changeId, waitDeadline)
    if (status === 'unknown') return Left(new CommandError('unknown', `change ${changeId} is not decided yet; ask: samphireglade change ${changeId}`))
    return answer.map(() => undefined)
  }

  /** A word of the command line as text. */
  protected text (words: Arguments, name: string): string {
    return String(words[name] ?? '')
  }

  /** A repeated option as texts. */
  protected texts (words: Arguments, name: string): string[] {
    const value = words[name]
    return Array.isArray(value) ? value.map(String) : []
  }
}
