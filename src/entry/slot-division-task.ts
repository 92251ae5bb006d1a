/**
 * Keeps this process's part of every pool in step with the demand of all.
 */
import type { PoolView } from '../endpoints/pool-view.js'
import type { MemberStatus } from '../schemas/member-status.js'
import type { StateKeeper } from '../state/state-keeper.js'
import { Task } from '../supervision/task.js'
import { SmoothedDemand } from './smoothed-demand.js'
import type { PoolQueue } from './pool-queue.js'
import type { PoolQueues } from './pool-queues.js'
import type { SlotDivision } from './slot-division.js'
import type { TeamDemands } from './team-demand.js'

/** How often the parts are worked out, in milliseconds. */
const DIVISION_INTERVAL_MILLISECONDS = 100

/** Works the division out again and again; a lent share comes back within one interval and one heartbeat. */
export class SlotDivisionTask extends Task {
  override readonly name = 'share-division'
  private readonly _ownDemands = new Map<string, SmoothedDemand>()

  /**
   * @param _self name of this process.
   * @param _others accounts of the other living entry processes.
   */
  constructor (
    private readonly _self: string,
    private readonly _queues: PoolQueues,
    private readonly _view: PoolView,
    private readonly _division: SlotDivision,
    private readonly _others: () => readonly MemberStatus[],
    private readonly _keeper: StateKeeper
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.divide()
      await this._queues.pause(DIVISION_INTERVAL_MILLISECONDS, signal)
    }
  }

  /** Works out and sets all parts once. */
  divide (): void {
    const others = this._others()
    const members = [this._self, ...others.map(entry => entry.member)]
    for (const queue of this._queues.all()) {
      const slots = this._view.slots(queue.pool)
      queue.setAllocation(this._division.divide({ slots, self: this._self, members, teams: this._demands(queue, others) }))
    }
  }

  private _ownDemand (queue: PoolQueue): SmoothedDemand {
    const present = this._ownDemands.get(queue.pool) ?? new SmoothedDemand()
    this._ownDemands.set(queue.pool, present)
    return present
  }

  private _demands (queue: PoolQueue, others: readonly MemberStatus[]): TeamDemands[] {
    const byTeam = new Map<string | null, Map<string, number>>()
    const add = (team: string | null, member: string, demand: number): void => {
      const members = byTeam.get(team) ?? new Map<string, number>()
      members.set(member, (members.get(member) ?? 0) + demand)
      byTeam.set(team, members)
    }
    for (const [team, demand] of this._ownDemand(queue).update(queue.demands())) add(team, this._self, demand)
    for (const entry of others) {
      for (const { pool, team, running, waiting } of entry.demands ?? []) {
        if (pool === queue.pool) add(team, entry.member, running + waiting)
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
