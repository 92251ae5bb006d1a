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
import { parseDocument } from './parse-document.js'

const MoveDocument = z.object({ toPool: Name }).strict()

/** `POST /vms/{id}/move`. An accepted change has started the drain; the VM's phase shows the further progress. */
export class MoveVirtualMachineRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path = '/vms/:id/move'
  override readonly summary = 'Moves a VM to another pool: drain, reboot, serve'
  override readonly documentSchema = MoveDocument

  constructor (private readonly _keeper: StateKeeper, private readonly _submitter: ChangeSubmitter) {
    super()
  }

  override async handle ({ parameters, document, expectedVersion, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const parsed = parseDocument(MoveDocument, document)
    if (parsed.isLeft()) return Left(parsed.extract() as AdministrationProblem)
    const { toPool } = parsed.extract() as z.infer<typeof MoveDocument>
    const virtualMachine = parameters['id'] ?? ''
    const currentVersion = this._keeper.state.virtualMachines.get(virtualMachine)?.version ?? 0
    return this._submitter.submit({
      kind: 'start-operation',
      virtualMachine,
      operation: { kind: 'move', toPool, intentId: `move-${changeId}`.slice(0, 128), wave: null },
      expectedVersion: expectedVersion ?? currentVersion,
      proof: null
    }, changeId)
  }
}
