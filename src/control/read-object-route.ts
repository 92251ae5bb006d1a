/**
 * Shows one object.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ObjectCollection } from './object-collection.js'

/** `GET /{collection}/{name}`. */
export class ReadObjectRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path: string
  override readonly summary: string

  constructor (private readonly _collection: ObjectCollection, private readonly _keeper: StateKeeper) {
    super()
    this.path = `/${_collection.name}/:name`
    this.summary = `Shows one of ${_collection.name}`
  }

  override async handle ({ parameters }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const name = parameters['name'] ?? ''
    const object = this._collection.find(this._keeper.state, name)
    if (!object) return Left(new AdministrationProblem('not-found', `${this._collection.name} has no ${name.slice(0, 63)}`))
    return Right({ status: 200, document: { ...object.document, version: object.version }, version: object.version })
  }
}
