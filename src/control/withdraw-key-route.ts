/**
 * Withdraws a key.
 */
import type { Either } from 'purify-ts/Either'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'

/** `DELETE /keys/{id}`. */
export class WithdrawKeyRoute extends AdministrationRoute {
  override readonly method = 'DELETE'
  override readonly path = '/keys/:id'
  override readonly summary = 'Withdraws a key for good'

  constructor (private readonly _submitter: ChangeSubmitter) {
    super()
  }

  override async handle ({ parameters, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    return this._submitter.submit({ kind: 'withdraw-key', keyId: parameters['id'] ?? '' }, changeId)
  }
}
