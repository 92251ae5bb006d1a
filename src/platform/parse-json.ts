/**
 * Parses a JSON body and validates it against a schema.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import type * as z from 'zod'

/** Maximum number of schema violations and characters in a message, which callers and logs get. */
const MAXIMUM_ISSUES = 3
const MAXIMUM_MESSAGE_CHARACTERS = 300

/** Returns the validated document, or a message with the syntax error or the first schema violations. */
export function parseJson<T> (schema: z.ZodType<T>, body: Buffer | string): Either<string, T> {
  let document: unknown
  try {
    document = JSON.parse(body.toString('utf8'))
  } catch (error) {
    return Left((error as Error).message.slice(0, MAXIMUM_MESSAGE_CHARACTERS))
  }
  const parsed = schema.safeParse(document)
  if (parsed.success) return Right(parsed.data)
  const messages = parsed.error.issues.slice(0, MAXIMUM_ISSUES).map(({ path, message }) => `${path.join('.')}: ${message}`)
  return Left(messages.join('; ').slice(0, MAXIMUM_MESSAGE_CHARACTERS))
}
