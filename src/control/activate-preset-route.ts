/**
 * Activates a preset.
 */
import type { Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'

/** `POST /presets/{name}/activate`. The expected version is that of the current activation. */
export class ActivatePresetRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path = '/presets/:name/activate'
  override readonly summary = 'Puts a preset in force'

  constructor (private readonly _keeper: StateKeeper, private readonly _submitter: ChangeSubmitter) {
    super()
  }

  override async handle ({ parameters, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const currentVersion = this._keeper.state.presetInForce?.version ?? 0
    const preset = parameters['name'] ?? ''
    return this._submitter.submit({ kind: 'activate-preset', preset, expectedVersion: expectedVersion ?? currentVersion }, changeId)
  }
}
