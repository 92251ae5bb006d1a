/**
 * Pauses, resumes or aborts a maintenance wave.
 */
import type { Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'

/** Phases by action, the last segment of the path. */
const PHASES_BY_ACTION = { pause: 'paused', resume: 'running', abort: 'aborted' } as const

/** `POST /maintenance/{name}/pause`, `…/resume` and `…/abort`. */
export class SetWavePhaseRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path: string
  override readonly summary: string

  constructor (private readonly _action: keyof typeof PHASES_BY_ACTION, private readonly _keeper: StateKeeper, private readonly _submitter: ChangeSubmitter) {
    super()
    this.path = `/maintenance/:name/${_action}`
    this.summary = `Sets a maintenance wave to ${PHASES_BY_ACTION[_action]}; VMs under way are carried to their end`
  }

  override async handle ({ operator, parameters, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const name = parameters['name'] ?? ''
    const currentVersion = this._keeper.state.waves.get(name)?.version ?? 0
    return this._submitter.submit({
      kind: 'set-wave-phase',
      name,
      phase: PHASES_BY_ACTION[this._action],
      reason: `${this._action} by ${operator}`,
      expectedVersion: expectedVersion ?? currentVersion,
      proof: null
    }, changeId)
  }
}
