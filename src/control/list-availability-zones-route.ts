/**
 * Lists availability zones.
 */
import { Right, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'

/** `GET /availability-zones`: every zone with a VM, worker or process, or that was taken out before, and whether it is out of service. */
export class ListAvailabilityZonesRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path = '/availability-zones'
  override readonly summary = 'Lists availability zones'

  constructor (private readonly _keeper: StateKeeper) {
    super()
  }

  override async handle (): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const { state } = this._keeper
    const virtualMachines = [...state.virtualMachines.values()]
    const names = new Set([
      ...virtualMachines.map(virtualMachine => virtualMachine.value.availabilityZone),
      ...[...state.workers.values()].map(worker => worker.value.availabilityZone),
      ...[...state.members.values()].map(member => member.availabilityZone),
      ...state.availabilityZones.keys()
    ])
    const items = [...names].sort().map(name => ({
      name,
      isOut: state.isZoneOut(name),
      virtualMachines: virtualMachines.filter(virtualMachine => virtualMachine.value.availabilityZone === name).length,
      version: state.availabilityZones.get(name)?.version ?? 0
    }))
    return Right({ status: 200, document: { items }, version: null })
  }
}
