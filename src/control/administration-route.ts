/**
 * One operation of the administration interface.
 */
import type { Either } from 'purify-ts/Either'
import type * as z from 'zod'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'

/** An operation with what the OpenAPI document says of it. Knows nothing of HTTP's encoding. */
export abstract class AdministrationRoute {
  /** HTTP method. */
  abstract readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'

  /** Path below `/admin/v1`, with parameters as `:name`. */
  abstract readonly path: string

  /** One line for the OpenAPI document. */
  abstract readonly summary: string

  /** Schema of the request's document. Default: null, no document. */
  readonly documentSchema: z.ZodType | null = null

  /** Carries the operation out. */
  abstract handle (request: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>>
}
