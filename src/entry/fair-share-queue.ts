/**
 * The order in which waiting requests of a pool start; the queue behind `p-queue`.
 */

/** A function that starts one request. */
type RunFunction = () => Promise<unknown>

/** What the queue knows of a waiting request. */
interface WaitingOptions {
  readonly id: string
  readonly team: string | null
  /** Whether it goes before the team's others. */
  readonly isUrgent: boolean
}

/** A waiting request. */
interface Waiting extends WaitingOptions {
  readonly run: RunFunction
}

/**
 * Most slot time, for each unit of weight, by which a team may be ahead of the others, in
 * milliseconds. Bounds how long a team waits for what it once had too much of.
 */
const MAXIMUM_LEAD_MILLISECONDS = 2_000

/** Smallest weight that counts. */
const MINIMUM_WEIGHT = 1e-3

/** What one team has waiting and has had. */
class TeamQueue {
  waiting: Waiting[] = []
  /** Slot time had so far for each unit of weight; the lowest comes next. */
  virtualTime = 0
}

/**
 * Weighted fair queueing by slot time.
 *
 * Each team's virtual time grows by the slot time that its requests take, divided by its
 * weight; the team with the least goes next. Requests are charged when they start with
 * what such requests usually take, and corrected when they end, so that declared run
 * times play no part.
 */
export class FairShareQueue {
  private readonly _teams = new Map<string | null, TeamQueue>()
  /** Virtual time of the service; a team that comes back starts from here and brings no old credit. */
  private _clock = 0

  /**
   * @param _mayStart whether a team's next request may start now.
   * @param _weight of a team.
   * @param _expectedCost slot time, in milliseconds, that a request is charged at its start.
   */
  constructor (
    private readonly _mayStart: (team: string | null) => boolean,
    private readonly _weight: (team: string | null) => number,
    private readonly _expectedCost: () => number
  ) {}

  /** Requests that could start now; `p-queue` asks this before it takes one. */
  get size (): number {
    let size = 0
    for (const [team, queue] of this._teams) {
      if (queue.waiting.length > 0 && this._mayStart(team)) size += queue.waiting.length
    }
    return size
  }

  /** Requests of a team that wait. */
  waitingOf (team: string | null): number {
    return this._teams.get(team)?.waiting.length ?? 0
  }

  /** Teams that have been seen, waiting or not. */
  teams (): (string | null)[] {
    return [...this._teams.keys()]
  }

  /** Adds a request. */
  enqueue (run: RunFunction, options?: Partial<WaitingOptions>): void {
    const { id = '', team = null, isUrgent = false } = options ?? {}
    const queue = this._teams.get(team) ?? new TeamQueue()
    this._teams.set(team, queue)
    if (queue.waiting.length === 0) queue.virtualTime = Math.max(queue.virtualTime, this._clock)
    if (isUrgent) queue.waiting.unshift({ id, team, isUrgent, run })
    else queue.waiting.push({ id, team, isUrgent, run })
  }

  /** Takes the next request, or undefined if none may start. */
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
    this._clock = Math.max(this._clock, chosen.virtualTime)
    this.charge(chosenTeam, this._expectedCost())
    return chosen.waiting.shift()?.run
  }

  /** Adds slot time in milliseconds to a team's account; negative to correct it. */
  charge (team: string | null, cost: number): void {
    const queue = this._teams.get(team)
    if (!queue) return
    const next = queue.virtualTime + cost / Math.max(this._weight(team), MINIMUM_WEIGHT)
    queue.virtualTime = Math.min(next, this._clock + MAXIMUM_LEAD_MILLISECONDS)
  }

  /** Takes a waiting request out, if it still waits. */
  remove (id: string): void {
    for (const queue of this._teams.values()) {
      const index = queue.waiting.findIndex(waiting => waiting.id === id)
      if (index < 0) continue
      queue.waiting.splice(index, 1)
      return
    }
  }

  /** Part of the interface of `p-queue`; the queue has no other filter than the team. */
  filter (options: Readonly<Partial<WaitingOptions>>): RunFunction[] {
    return this._teams.get(options.team ?? null)?.waiting.map(waiting => waiting.run) ?? []
  }

  /**
   * Part of the interface of `p-queue`; not used.
   *
   * @throws always: order follows from shares alone.
   */
  setPriority (_id: string, _priority: number): never {
    throw new Error('the order of requests follows from shares')
  }
}
