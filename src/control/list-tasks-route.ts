/**
 * Lists tasks for operators.
 */
import { Right, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'

/** `GET /tasks`: all unfinished tasks, with the reason if they are parked. */
export class ListTasksRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path = '/tasks'
  override readonly summary = 'Lists tasks that wait, run or are parked'

  constructor (private readonly _keeper: StateKeeper) {
    super()
  }

  override async handle (): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const items = [...this._keeper.state.tasks.values()]
      .filter(({ phase }) => phase !== 'done' && phase !== 'cancelled')
      .map(({ id, queue, team, phase, reason, worker, isUrgent, failedOn }) => ({ id, queue, team, phase, reason, worker, isUrgent, failedOn }))
    return Right({ status: 200, document: { items }, version: null })
  }
}
