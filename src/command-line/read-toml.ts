/**
 * Reads TOML files of operators.
 */
import { readFileSync } from 'node:fs'
import { Left, Right, type Either } from 'purify-ts/Either'
import { parse, TomlError } from 'smol-toml'
import { CommandError } from './command-error.js'

/** Reads a TOML file. A syntax error is reported with its line and column. */
export function readToml (path: string): Either<CommandError, object> {
  try {
    return Right(parse(readFileSync(path, 'utf8')))
  } catch (error) {
    const location = error instanceof TomlError ? `${path}:${error.line}:${error.column}` : path
    const [message] = (error as Error).message.split('\n')
    return Left(new CommandError('usage', `${location}: ${message}`))
  }
}
