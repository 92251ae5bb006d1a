/**
 * A weighted fair queue of a pool's waiting requests; the queue class used with `p-queue`.
 */

/** A function that starts one request. */
type RunFunction = () => Promise<unknown>

/** Options of `enqueue`. */
interface EnqueueOptions {
  readonly id: string
  readonly team: string | null
  /** Whether the request goes to the front of its team's queue. */
  readonly isUrgent: boolean
}

/** A waiting request. */
interface WaitingRequest extends EnqueueOptions {
  readonly run: RunFunction
}

/**
 * Limit on how far a team's virtual time may be ahead of the queue's. Bounds how long a
 * team is held back after it has used more than its share.
 */
const MAXIMUM_LEAD_MILLISECONDS = 2_000

/** Lower bound of weights; avoids division by zero. */
const MINIMUM_WEIGHT = 1e-3

/** One team's waiting requests and its virtual time. */
class TeamQueue {
  waiting: WaitingRequest[] = []
  /** Slot time used for each unit of weight; the team with the lowest value is next. */
  virtualTime = 0
}

/**
 * Weighted fair queueing by slot time.
 *
 * Each team's virtual time grows by the slot time that its requests use, divided by its
 * weight; the team with the lowest virtual time is next. A request is charged the expected
 * slot time when it starts, and the charge is corrected when it ends, so that no declared
 * run times are needed.
 */
export class FairShareQueue {
  private readonly _teams = new Map<string | null, TeamQueue>()
  /** Virtual time of the queue. A team that becomes active again starts at this value at least, without credit for its idle time. */
  private _virtualTime = 0

  /**
   * @param _mayStart whether a team's next request may start now.
   * @param _weight weight of a team.
   * @param _expectedCost slot time, in milliseconds, that a request is charged when it starts.
   */
  constructor (
    private readonly _mayStart: (team: string | null) => boolean,
    private readonly _weight: (team: string | null) => number,
    private readonly _expectedCost: () => number
  ) {}

  /** Number of requests of the teams that may start one now; `p-queue` checks it before it calls `dequeue`. */
  get size (): number {
    let size = 0
    for (const [team, queue] of this._teams) {
      if (queue.waiting.length > 0 && this._mayStart(team)) size += queue.waiting.length
    }
    return size
  }

  /** Number of a team's waiting requests. */
  waitingOf (team: string | null): number {
    return this._teams.get(team)?.waiting.length ?? 0
  }

  /** All teams that have had requests, waiting or not. */
  teams (): (string | null)[] {
    return [...this._teams.keys()]
  }

  enqueue (run: RunFunction, options?: Partial<EnqueueOptions>): void {
    const { id = '', team = null, isUrgent = false } = options ?? {}
    const queue = this._teams.get(team) ?? new TeamQueue()
    this._teams.set(team, queue)
    if (queue.waiting.length === 0) queue.virtualTime = Math.max(queue.virtualTime, this._virtualTime)
    if (isUrgent) queue.waiting.unshift({ id, team, isUrgent, run })
    else queue.waiting.push({ id, team, isUrgent, run })
  }

  /** Removes and returns the next request, or undefined if none may start. */
  dequeue (): RunFunction | undefined {
    let chosen: TeamQueue | undefined
    let chosenTeam: string | null = null
    for (const [team, queue] of this._teams) {
      if (queue.waiting.length === 0 || !this._mayStart(team)) continue
      if (chosen && chosen.virtualTime <= queue.virtualTime) continue
      chosen = queue
      chosenTeam = team
    }
    if (!chosen) return undefined
    this._virtualTime = Math.max(this._virtualTime, chosen.virtualTime)
    this.charge(chosenTeam, this._expectedCost())
    return chosen.waiting.shift()?.run
  }

  /** Charges slot time to a team, in milliseconds; a negative cost corrects an earlier charge. */
  charge (team: string | null, cost: number): void {
    const queue = this._teams.get(team)
    if (!queue) return
    const next = queue.virtualTime + cost / Math.max(this._weight(team), MINIMUM_WEIGHT)
    queue.virtualTime = Math.min(next, this._virtualTime + MAXIMUM_LEAD_MILLISECONDS)
  }

  /** Removes a request if it is still waiting. */
  remove (id: string): void {
    for (const queue of this._teams.values()) {
      const index = queue.waiting.findIndex(waiting => waiting.id === id)
      if (index < 0) continue
      queue.waiting.splice(index, 1)
      return
    }
  }

  /** Required by `p-queue`; filters by team only. */
  filter (options: Readonly<Partial<EnqueueOptions>>): RunFunction[] {
    return this._teams.get(options.team ?? null)?.waiting.map(waiting => waiting.run) ?? []
  }

  /**
   * Required by `p-queue`; not supported.
   *
   * @throws always, because the order depends on shares alone.
   */
  setPriority (_id: string, _priority: number): never {
    throw new Error('setPriority is not supported: requests are ordered by team share')
  }
}
