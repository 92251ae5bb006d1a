/**
 * Base class of the operations of the administration interface.
 */
import type { Either } from 'purify-ts/Either'
import type * as z from 'zod'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'

/** An operation with its description for the OpenAPI document. It is independent of the HTTP encoding. */
export abstract class AdministrationRoute {
  /** HTTP method. */
  abstract readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'

  /** Path below `/admin/v1`, with parameters as `:name`. */
  abstract readonly path: string

  /** One-line summary for the OpenAPI document. */
  abstract readonly summary: string

  /** Schema of the request's document, or null if it takes none. Default: null. */
  readonly documentSchema: z.ZodType | null = null

  /** Executes the operation. */
  abstract handle (request: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>>
}
