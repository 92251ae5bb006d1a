/**
 * Shows an overview of the system's state.
 */
import { Right, type Either } from 'purify-ts/Either'
import type { Membership } from '../peers/membership.js'
import type { Clock } from '../supervision/clock.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeProgress } from './change-progress.js'

/** `GET /state`. */
export class ReadStateRoute extends AdministrationRoute {
  override readonly method = 'GET'
  override readonly path = '/state'
  override readonly summary = 'Shows members, leases, the preset in force and how current this process\'s view is'

  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _membership: Membership,
    private readonly _progress: ChangeProgress,
    private readonly _clock: Clock
  ) {
    super()
  }

  override async handle (): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const { state } = this._keeper
    const now = this._clock.now()
    const members = [...state.members.values()].map(({ id, role, availabilityZone }) => {
      const memberStatus = this._membership.statusOf(id)
      return {
        id,
        role,
        availabilityZone,
        offset: id === this._membership.self.id ? state.offset : memberStatus?.offset ?? null,
        reachesLog: id === this._membership.self.id ? this._membership.reachesLogDirectly : memberStatus?.reachesLog ?? null,
        lastHeardAt: id === this._membership.self.id ? now : this._membership.lastContactAt(id)
      }
    })
    const document = {
      offset: state.offset,
      freshAt: this._keeper.freshAt,
      reachesLog: this._membership.reachesLogDirectly,
      presetInForce: state.presetInForce,
      cutOffPolicy: state.cutOffPolicy.value,
      configuration: { offset: state.configurationOffset, ...this._progress.of(state, state.configurationOffset, now) },
      members,
      leases: [...state.leases.values()].map(({ name, holder, deadline }) => ({ name, member: holder.member, deadline })),
      counts: {
        pools: state.pools.size,
        virtualMachines: state.virtualMachines.size,
        teams: state.teams.size,
        queues: state.queues.size,
        presets: state.presets.size,
        claims: state.claims.size
      }
    }
    return Right({ status: 200, document, version: null })
  }
}
