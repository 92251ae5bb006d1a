/**
 * Reads and validates settings files.
 */
import { readFileSync } from 'node:fs'
import { Left, Right, type Either } from 'purify-ts/Either'
import { parse, TomlError } from 'smol-toml'
import type * as z from 'zod'
import type { Finding } from '../schemas/finding.js'
import { findingsOf } from '../schemas/findings-of.js'

/**
 * Reads a TOML file and validates all of it against a schema.
 *
 * @returns the settings, or every finding, each with the file's path and either a key path or line and column.
 */
export function readSettings<T> (schema: z.ZodType<T>, path: string): Either<Finding[], T> {
  return readText(path).chain(text => parseToml(path, text)).chain(document => {
    const parsed = schema.safeParse(document)
    return parsed.success ? Right(parsed.data) : Left(findingsOf(parsed.error, path))
  })
}

function readText (path: string): Either<Finding[], string> {
  try {
    return Right(readFileSync(path, 'utf8'))
  } catch (error) {
    return Left([{ path, code: 'not-found', message: (error as Error).message }])
  }
}

function parseToml (path: string, text: string): Either<Finding[], object> {
  try {
    return Right(parse(text))
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    const [message] = error.message.split('\n')
    return Left([{ path: `${path}:${error.line}:${error.column}`, code: 'invalid', message: message ?? 'is not valid TOML' }])
  }
}
