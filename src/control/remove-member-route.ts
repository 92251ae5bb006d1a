/**
 * Removes a process that has ended for good from the member set.
 */
import { Left, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'

/**
 * `POST /members/{id}/forget`, for a process whose VM no longer exists although the platform still lists it. Its grants
 * are returned. If it were still running but cut off, upper limits could be exceeded, so the operator has to make sure
 * that it has ended.
 */
export class RemoveMemberRoute extends AdministrationRoute {
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
