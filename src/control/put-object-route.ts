/**
 * Creates or replaces one object.
 */
import { Left, type Either } from 'purify-ts/Either'
import type * as z from 'zod'
import type { Command } from '../schemas/command.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'
import type { ObjectCollection } from './object-collection.js'

/** `PUT /{collection}/{name}`. Without `If-Match`, the expected version is the one in this process's view. */
export class PutObjectRoute extends AdministrationRoute {
  override readonly method = 'PUT'
  override readonly path: string
  override readonly summary: string
  override readonly documentSchema: z.ZodType

  constructor (
    private readonly _collection: ObjectCollection,
    private readonly _keeper: StateKeeper,
    private readonly _submitter: ChangeSubmitter
  ) {
    super()
    this.path = `/${_collection.name}/:name`
    this.summary = `Creates or replaces one of ${_collection.name}`
    this.documentSchema = _collection.schema
  }

  override async handle ({ parameters, document, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const name = parameters['name'] ?? ''
    const currentVersion = this._collection.find(this._keeper.state, name)?.version ?? 0
    const command = this._collection.parse(document, name, expectedVersion ?? currentVersion)
    if (command.isLeft()) return Left(command.extract() as AdministrationProblem)
    return this._submitter.submit(command.extract() as Command, changeId)
  }
}
