/**
 * Takes an availability zone out of service or back into it.
 */
import { Left, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'
import { parseDocument } from './parse-document.js'

const ZoneDocument = z.object({
  /** Accept the change even if it breaks an availability budget. */
  force: z.boolean().default(false)
}).strict()

/** `POST /availability-zones/{name}/out` and `…/back`. */
export class SetAvailabilityZoneRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path: string
  override readonly summary: string
  override readonly documentSchema = ZoneDocument

  constructor (private readonly _isOut: boolean, private readonly _keeper: StateKeeper, private readonly _submitter: ChangeSubmitter) {
    super()
    this.path = `/availability-zones/:name/${_isOut ? 'out' : 'back'}`
    this.summary = `Takes an availability zone ${_isOut ? 'out of service' : 'back into service'}`
  }

  override async handle ({ parameters, document, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const parsed = parseDocument(ZoneDocument, document ?? {})
    if (parsed.isLeft()) return Left(parsed.extract() as AdministrationProblem)
    const { force } = parsed.extract() as z.infer<typeof ZoneDocument>
    const availabilityZone = parameters['name'] ?? ''
    const currentVersion = this._keeper.state.availabilityZones.get(availabilityZone)?.version ?? 0
    return this._submitter.submit(
      { kind: 'set-availability-zone', availabilityZone, isOut: this._isOut, force, expectedVersion: expectedVersion ?? currentVersion },
      changeId
    )
  }
}
