/**
 * Returns the decision on a change and its progress.
 */
import { Right, type Either } from 'purify-ts/Either'
import type { Clock } from '../supervision/clock.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeProgress } from './change-progress.js'

/** `GET /changes/{id}`. */
export class ReadChangeRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path = '/changes/:id'
  override readonly summary = 'Tells whether a change was accepted and on which entry VMs it is in force'

  constructor (private readonly _keeper: StateKeeper, private readonly _progress: ChangeProgress, private readonly _clock: Clock) {
    super()
  }

  override async handle ({ parameters }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const changeId = parameters['id'] ?? ''
    const decision = this._keeper.decisionOf(changeId)
    if (!decision) return Right({ status: 200, document: { status: 'unknown', changeId }, version: null })
    const { offset, kind, findings } = decision
    if (!decision.isAccepted) return Right({ status: 200, document: { status: 'refused', changeId, kind, offset, findings }, version: null })
    const progress = this._progress.of(this._keeper.state, offset, this._clock.now())
    return Right({ status: 200, document: { status: 'accepted', changeId, kind, offset, ...progress }, version: null })
  }
}
