/**
 * Removes one object.
 */
import type { Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'
import type { ObjectCollection } from './object-collection.js'

/** `DELETE /{collection}/{name}`. */
export class RemoveObjectRoute extends AdministrationRoute {
  override readonly method = 'DELETE'
  override readonly path: string
  override readonly summary: string

  constructor (
    private readonly _collection: ObjectCollection,
    private readonly _keeper: StateKeeper,
    private readonly _submitter: ChangeSubmitter
  ) {
    super()
    this.path = `/${_collection.name}/:name`
    this.summary = `Removes one of ${_collection.name}`
  }

  override async handle ({ parameters, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const name = parameters['name'] ?? ''
    const currentVersion = this._collection.find(this._keeper.state, name)?.version ?? 0
    const collection = this._collection.name
    return this._submitter.submit({ kind: 'remove', collection, name, expectedVersion: expectedVersion ?? currentVersion }, changeId)
  }
}
