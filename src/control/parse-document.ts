/**
 * Validates operators' documents against schemas.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import type * as z from 'zod'
import { findingsOf } from '../schemas/findings-of.js'
import { AdministrationProblem } from './administration-problem.js'

/** The validated document, or a problem with every finding and its path. */
export function parseDocument<T> (schema: z.ZodType<T>, document: unknown): Either<AdministrationProblem, T> {
  const parsed = schema.safeParse(document)
  if (parsed.success) return Right(parsed.data)
  return Left(new AdministrationProblem('invalid', 'the document doesn\'t fit its schema', findingsOf(parsed.error, '$')))
}
