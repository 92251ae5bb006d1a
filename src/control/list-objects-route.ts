/**
 * Lists the objects of a collection.
 */
import { Right, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ObjectCollection } from './object-collection.js'

/** `GET /{collection}`. */
export class ListObjectsRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path: string
  override readonly summary: string

  constructor (private readonly _collection: ObjectCollection, private readonly _keeper: StateKeeper) {
    super()
    this.path = `/${_collection.name}`
    this.summary = `Lists ${_collection.name}`
  }

  override async handle (): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const items = this._collection.list(this._keeper.state).map(({ version, document }) => ({ ...document, version }))
    return Right({ status: 200, document: { items }, version: null })
  }
}
