/**
 * Replaces the policy for entry VMs that are cut off from the log.
 */
import { Left, type Either } from 'purify-ts/Either'
import { CutOffPolicy } from '../schemas/cut-off-policy.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'
import { parseDocument } from './parse-document.js'

/** `PUT /policies/cut-off`. */
export class PutCutOffPolicyRoute extends AdministrationRoute {
  override readonly method = 'PUT'
  override readonly path = '/policies/cut-off'
  override readonly summary = 'Says what an entry VM may go on doing while it is cut off'
  override readonly documentSchema = CutOffPolicy

  constructor (private readonly _keeper: StateKeeper, private readonly _submitter: ChangeSubmitter) {
    super()
  }

  override async handle ({ document, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const parsed = parseDocument(CutOffPolicy, document)
    if (parsed.isLeft()) return Left(parsed.extract() as AdministrationProblem)
    const value = parsed.extract() as CutOffPolicy
    const currentVersion = this._keeper.state.cutOffPolicy.version
    return this._submitter.submit({ kind: 'put-cut-off-policy', value, expectedVersion: expectedVersion ?? currentVersion }, changeId)
  }
}
