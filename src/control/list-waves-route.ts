/**
 * Lists maintenance waves.
 */
import { Right, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'

/** `GET /maintenance`: all waves with their progress. */
export class ListWavesRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path = '/maintenance'
  override readonly summary = 'Lists maintenance waves with their progress'

  constructor (private readonly _keeper: StateKeeper) {
    super()
  }

  override async handle (): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const { state } = this._keeper
    const items = [...state.waves.values()].map(wave => ({
      name: wave.name,
      phase: wave.phase,
      reason: wave.reason,
      total: wave.order.length,
      done: wave.done.length,
      underWay: wave.order.filter(id => state.virtualMachines.get(id)?.operation?.wave === wave.name),
      version: wave.version
    }))
    return Right({ status: 200, document: { items }, version: null })
  }
}
