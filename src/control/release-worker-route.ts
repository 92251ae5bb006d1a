/**
 * Releases a worker from quarantine.
 */
import type { Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'

/** `POST /workers/{id}/release`. */
export class ReleaseWorkerRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path = '/workers/:id/release'
  override readonly summary = 'Takes a worker out of quarantine'

  constructor (private readonly _keeper: StateKeeper, private readonly _submitter: ChangeSubmitter) {
    super()
  }

  override async handle ({ parameters, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const worker = parameters['id'] ?? ''
    const currentVersion = this._keeper.state.workers.get(worker)?.version ?? 0
    return this._submitter.submit({ kind: 'release-worker', worker, expectedVersion: expectedVersion ?? currentVersion }, changeId)
  }
}
