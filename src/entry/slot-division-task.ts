/**
 * Updates this process's slot allocations as the demand across the fleet changes.
 */
import type { PoolView } from '../endpoints/pool-view.js'
import type { MemberStatus } from '../schemas/member-status.js'
import type { StateKeeper } from '../state/state-keeper.js'
import { Task } from '../supervision/task.js'
import { SmoothedDemand } from './smoothed-demand.js'
import type { PoolQueue } from './pool-queue.js'
import type { PoolQueues } from './pool-queues.js'
import type { SlotDivision } from './slot-division.js'
import type { TeamDemand } from './team-demand.js'

const DIVISION_INTERVAL_MILLISECONDS = 100

/**
 * Repeats the slot division periodically. When demand rises here again, slots that others
 * used in the meantime come back within one interval and one heartbeat.
 */
export class SlotDivisionTask extends Task {
  override readonly name = 'share-division'
  private readonly _smoothedDemands = new Map<string, SmoothedDemand>()

  /**
   * @param _self name of this process.
   * @param _peerStatuses returns the latest statuses of the other entry processes that are reachable.
   */
  constructor (
    private readonly _self: string,
    private readonly _queues: PoolQueues,
    private readonly _view: PoolView,
    private readonly _division: SlotDivision,
    private readonly _peerStatuses: () => readonly MemberStatus[],
    private readonly _keeper: StateKeeper
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.divide()
      await this._queues.waitForNextPoll(DIVISION_INTERVAL_MILLISECONDS, signal)
    }
  }

  /** Divides the slots of all pools once and sets this process's allocations. */
  divide (): void {
    const peers = this._peerStatuses()
    const members = [this._self, ...peers.map(status => status.member)]
    for (const queue of this._queues.all()) {
      const slots = this._view.slots(queue.pool)
      queue.setAllocation(this._division.divide({ slots, self: this._self, members, teams: this._teamDemands(queue, peers) }))
    }
  }

  private _smoothedDemand (queue: PoolQueue): SmoothedDemand {
    const smoothed = this._smoothedDemands.get(queue.pool) ?? new SmoothedDemand()
    this._smoothedDemands.set(queue.pool, smoothed)
    return smoothed
  }

  private _teamDemands (queue: PoolQueue, peers: readonly MemberStatus[]): TeamDemand[] {
    const byTeam = new Map<string | null, Map<string, number>>()
    const add = (team: string | null, member: string, demand: number): void => {
      const members = byTeam.get(team) ?? new Map<string, number>()
      members.set(member, (members.get(member) ?? 0) + demand)
      byTeam.set(team, members)
    }
    for (const [team, demand] of this._smoothedDemand(queue).update(queue.demands())) add(team, this._self, demand)
    for (const status of peers) {
      for (const { pool, team, running, waiting } of status.demands ?? []) {
        if (pool === queue.pool) add(team, status.member, running + waiting)
      }
    }
    return [...byTeam].map(([team, byMember]) => ({
      team,
      share: this._queues.share(team),
      limit: team === null ? Infinity : this._keeper.state.upperLimit(team),
      byMember
    }))
  }
}
