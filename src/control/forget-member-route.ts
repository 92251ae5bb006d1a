/**
 * Takes a process that will not come back out of the member set.
 */
import { Left, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'

/**
 * `POST /members/{id}/forget`, for a VM that is gone although the platform's list doesn't
 * say so. Its part of the limits comes back; were it alive and cut off, limits could be
 * exceeded, so an operator has to make sure.
 */
export class ForgetMemberRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path = '/members/:id/forget'
  override readonly summary = 'Declares a process ended that certainly runs no more'

  constructor (private readonly _keeper: StateKeeper, private readonly _submitter: ChangeSubmitter) {
    super()
  }

  override async handle ({ parameters, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const member = this._keeper.state.members.get(parameters['id'] ?? '')
    if (!member) return Left(new AdministrationProblem('not-found', 'there is no such member'))
    const holder = { member: member.id, incarnation: member.incarnation }
    return this._submitter.submit({ kind: 'end-member', holder, reason: 'forgotten' }, changeId)
  }
}
