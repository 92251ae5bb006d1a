/**
 * Moves a VM to another pool.
 */
import { Left, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import { Name } from '../schemas/name.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'
import { readDocument } from './read-document.js'

const MoveDocument = z.object({ toPool: Name }).strict()

/** `POST /vms/{id}/move`. Accepted means that the drain has begun; the VM's phase tells the rest. */
export class MoveRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path = '/vms/:id/move'
  override readonly summary = 'Moves a VM to another pool: drain, reboot, serve'
  override readonly documentSchema = MoveDocument

  constructor (private readonly _keeper: StateKeeper, private readonly _submitter: ChangeSubmitter) {
    super()
  }

  override async handle ({ parameters, document, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const read = readDocument(MoveDocument, document)
    if (read.isLeft()) return Left(read.extract() as AdministrationProblem)
    const { toPool } = read.extract() as z.infer<typeof MoveDocument>
    const virtualMachine = parameters['id'] ?? ''
    const present = this._keeper.state.virtualMachines.get(virtualMachine)?.version ?? 0
    return this._submitter.submit({
      kind: 'start-operation',
      virtualMachine,
      operation: { kind: 'move', toPool, intentId: `move-${changeId}`.slice(0, 128), wave: null },
      expectedVersion: expectedVersion ?? present,
      proof: null
    }, changeId)
  }
}
