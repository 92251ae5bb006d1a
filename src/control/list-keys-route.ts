/**
 * Lists keys.
 */
import { Right, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'

/** `GET /keys`. Shows neither secrets nor their hashes. */
export class ListKeysRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path = '/keys'
  override readonly summary = 'Lists keys without their secrets'

  constructor (private readonly _keeper: StateKeeper) {
    super()
  }

  override async handle (): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const items = [...this._keeper.state.keys.values()].map(({ value: { id, team, queues, isWithdrawn }, version }) => ({ id, team, queues, isWithdrawn, version }))
    return Right({ status: 200, document: { items }, version: null })
  }
}
