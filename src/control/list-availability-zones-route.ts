/**
 * Lists availability zones.
 */
import { Right, type Either } from 'purify-ts/Either'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'

/** `GET /availability-zones`: every zone with a VM, worker or process, and whether it is out. */
export class ListAvailabilityZonesRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path = '/availability-zones'
  override readonly summary = 'Lists availability zones'

  constructor (private readonly _keeper: StateKeeper) {
    super()
  }

  override async handle (): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const { state } = this._keeper
    const machines = [...state.virtualMachines.values()]
    const names = new Set([
      ...machines.map(machine => machine.value.availabilityZone),
      ...[...state.workers.values()].map(worker => worker.value.availabilityZone),
      ...[...state.members.values()].map(member => member.availabilityZone),
      ...state.availabilityZones.keys()
    ])
    const items = [...names].sort().map(name => ({
      name,
      isOut: state.isZoneOut(name),
      virtualMachines: machines.filter(machine => machine.value.availabilityZone === name).length,
      version: state.availabilityZones.get(name)?.version ?? 0
    }))
    return Right({ status: 200, document: { items }, version: null })
  }
}
