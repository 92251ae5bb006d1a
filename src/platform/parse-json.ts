/**
 * Parses a JSON body and validates it against a schema.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import type * as z from 'zod'

/** Returns the validated document, or a message that lists the syntax error or the schema violations. */
export function parseJson<T> (schema: z.ZodType<T>, body: Buffer | string): Either<string, T> {
  let document: unknown
  try {
    document = JSON.parse(body.toString('utf8'))
  } catch (error) {
    return Left((error as Error).message)
  }
  const parsed = schema.safeParse(document)
  if (parsed.success) return Right(parsed.data)
  return Left(parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; '))
}
