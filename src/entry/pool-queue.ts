/**
 * Requests that wait for the slots of one pool at one entry process.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import PQueue, { type QueueAddOptions } from 'p-queue'
import type { Metrics } from '../observability/metrics.js'
import type { Queue } from '../schemas/queue.js'
import type { Clock } from '../supervision/clock.js'
import { FairShareQueue } from './fair-share-queue.js'
import type { LimitLedger } from './limit-ledger.js'
import { Refusal } from './refusal.js'
import type { Slot } from './slot.js'
import type { SlotAllotment } from './slot-allocation.js'

/** Slot time assumed before any request has ended, in milliseconds. */
const INITIAL_SERVICE_MILLISECONDS = 50

/** Smallest part of a slot that an expected wait is reckoned with. */
const SMALLEST_PART = 0.1

/** Weight of the newest service time in the running mean, once there are many. */
const SERVICE_SMOOTHING = 0.005

/**
 * Mean service times that must remain after the expected wait for a request to be admitted.
 * Service times spread widely; with room for one mean only, a third of what starts last
 * would run in vain.
 */
const RESERVED_SERVICE_TIMES = 3

/** What a request brings to the queue. */
interface Entrance {
  readonly requestId: string
  readonly team: string | null
  readonly queue: Queue
  /** Bytes of body held in memory. */
  readonly bytes: number
  /** Epoch milliseconds. */
  readonly deadline: number
  /** Whether it has been tried before and goes before its team's others. */
  readonly isRetry: boolean
  readonly signal: AbortSignal
}

/** What `p-queue` hands through to the queue behind it. */
type JobOptions = QueueAddOptions & { team?: string | null, isUrgent?: boolean }

/** What a team has waiting. */
interface Backlog {
  requests: number
  bytes: number
}

/**
 * Holds requests until there is a slot, in fair order, and refuses those that would wait
 * too long. Built on `p-queue`, whose concurrency is this process's part of the pool.
 */
export class PoolQueue {
  private readonly _order: FairShareQueue
  private readonly _queue: PQueue<FairShareQueue, JobOptions>
  private readonly _backlogs = new Map<string | null, Backlog>()
  private readonly _runningByTeam = new Map<string | null, number>()
  private _allotment: SlotAllotment = { total: 1, byTeam: new Map() }
  private _slots = 1
  private _carry = 0
  private _running = 0
  private _learned = 0
  private _serviceMilliseconds = INITIAL_SERVICE_MILLISECONDS

  /**
   * @param pool whose slots are waited for.
   * @param _share of a team, the weight until the division has counted its demand.
   */
  constructor (
    readonly pool: string,
    private readonly _clock: Clock,
    private readonly _ledger: LimitLedger,
    private readonly _share: (team: string | null) => number,
    private readonly _onArrival: () => void,
    private readonly _metrics: Metrics
  ) {
    const order = new FairShareQueue(
      team => this._running < this._slots && this._ledger.mayStart(team),
      team => this._allotment.byTeam.get(team) ?? this._share(team),
      () => this._serviceMilliseconds
    )
    this._order = order
    // `p-queue` makes its queue by itself; this hands it the one made here. Whether a
    // request may start is asked of the queue, so the concurrency given here is no bound.
    const QueueClass = class { constructor () { return order } } as unknown as new () => FairShareQueue
    this._queue = new PQueue<FairShareQueue, JobOptions>({ queueClass: QueueClass, concurrency: Number.POSITIVE_INFINITY })
  }

  /** Requests running. */
  get running (): number {
    return this._running
  }

  /** Requests waiting. */
  get waiting (): number {
    return this._order.teams().reduce((sum, team) => sum + this._order.waitingOf(team), 0)
  }

  /** Slot time that requests have taken lately, on average, in milliseconds. */
  get serviceMilliseconds (): number {
    return this._serviceMilliseconds
  }

  /** Requests of a team that wait. */
  waitingOf (team: string | null): number {
    return this._order.waitingOf(team)
  }

  /** Teams with work here, with what runs and what waits. */
  demands (): { team: string | null, running: number, waiting: number }[] {
    return this._order.teams()
      .map(team => ({ team, running: this._runningByTeam.get(team) ?? 0, waiting: this._order.waitingOf(team) }))
      .filter(({ running, waiting }) => running + waiting > 0)
  }

  /**
   * Sets this process's part of the pool. A fraction is carried over to the next time, so
   * that the parts of all processes add up to the pool's slots on average.
   */
  setAllocation (allotment: SlotAllotment): void {
    this._allotment = allotment
    const exact = allotment.total + this._carry
    this._slots = Math.max(0, Math.floor(exact))
    this._carry = exact - this._slots
    this.wake()
  }

  /** Starts what may start now; call when limits or slots have grown. */
  wake (): void {
    // Setting the concurrency makes `p-queue` look at its queue again.
    this._queue.concurrency = Number.POSITIVE_INFINITY
  }

  /** Waits for a slot. A refusal means that the request was taken out of the queue and has not run. */
  async acquire (entrance: Entrance): Promise<Either<Refusal, Slot>> {
    const refusal = this._refusalOf(entrance)
    if (refusal) return Left(refusal)
    this._onArrival()
    const enteredAt = this._clock.now()
    const backlog = this._enter(entrance)
    const slot = await this._wait(entrance)
    backlog.requests -= 1
    backlog.bytes -= entrance.bytes
    this._metrics.timing('requests.wait.milliseconds', this._clock.now() - enteredAt, this.pool)
    return slot
  }

  private async _wait (entrance: Entrance): Promise<Either<Refusal, Slot>> {
    const { requestId, team, deadline, signal } = entrance
    const over = new AbortController()
    const stop = (): void => over.abort()
    signal.addEventListener('abort', stop, { once: true })
    const started = new Promise<Either<Refusal, Slot>>(resolve => {
      void this._queue.add(() => this._occupy(entrance, resolve), { id: requestId, team, isUrgent: entrance.isRetry })
      void this._clock.sleepUntil(deadline, over.signal).catch(() => {}).then(() => {
        this._order.remove(requestId)
        resolve(Left(new Refusal('deadline-passed', 'not-run', 'the deadline passed while the request waited', 1)))
      })
    })
    const result = await started
    signal.removeEventListener('abort', stop)
    over.abort()
    return result
  }

  /** Runs as a job of `p-queue`: hands the slot out and ends when it is released. */
  private async _occupy (entrance: Entrance, resolve: (slot: Either<Refusal, Slot>) => void): Promise<void> {
    const { team } = entrance
    let startedAt: number | null = null
    const begin = (): void => { startedAt = this._clock.now() }
    const charged = this._serviceMilliseconds
    if (entrance.signal.aborted || this._isHopeless(entrance)) {
      this._order.charge(team, -charged)
      resolve(Left(new Refusal('deadline-passed', 'not-run', 'too little time was left to run the request', 1)))
      return
    }
    this._start(team)
    await new Promise<void>(_resolve => resolve(Right({ begin, release: _resolve })))
    const took = startedAt === null ? 0 : this._clock.now() - startedAt
    this._order.charge(team, took - charged)
    if (startedAt !== null) this._learn(took)
    this._end(team)
  }

  /** A plain mean at first, a running one later; a jumpy mean would admit in waves. */
  private _learn (took: number): void {
    this._learned += 1
    this._serviceMilliseconds += Math.max(SERVICE_SMOOTHING, 1 / (1 + this._learned)) * (took - this._serviceMilliseconds)
  }

  private _start (team: string | null): void {
    this._running += 1
    this._runningByTeam.set(team, (this._runningByTeam.get(team) ?? 0) + 1)
    this._ledger.start(team)
  }

  private _end (team: string | null): void {
    this._running -= 1
    this._runningByTeam.set(team, (this._runningByTeam.get(team) ?? 1) - 1)
    this._ledger.end(team)
  }

  /** Bounds by count and bytes, and an early refusal where the deadline cannot be met. */
  private _refusalOf (entrance: Entrance): Refusal | null {
    const { queue, team, bytes, isRetry } = entrance
    if (isRetry) return null
    const backlog = this._backlogs.get(team)
    if ((backlog?.requests ?? 0) >= queue.maximumQueuedRequests || (backlog?.bytes ?? 0) + bytes > queue.maximumQueuedBytes) {
      return new Refusal('queue-full', 'not-run', `queue ${queue.name} holds all it may for the team`, this._retryAfter(team))
    }
    const expected = this._clock.now() + this._expectedWait(team) + RESERVED_SERVICE_TIMES * this._serviceMilliseconds
    if ((backlog?.requests ?? 0) > 0 && expected > entrance.deadline) {
      return new Refusal('no-capacity', 'not-run', 'the deadline would pass before the request could run', this._retryAfter(team))
    }
    return null
  }

  /**
   * Time until what a team has waiting has started, in milliseconds, going by its part of
   * the slots. Before the division has counted a team, nothing speaks against its having all.
   */
  private _expectedWait (team: string | null): number {
    const part = Math.max(this._allotment.byTeam.get(team) ?? this._slots, SMALLEST_PART)
    return this._order.waitingOf(team) * this._serviceMilliseconds / part
  }

  private _retryAfter (team: string | null): number {
    return Math.min(60, Math.max(1, Math.ceil(this._expectedWait(team) / 1_000)))
  }

  private _isHopeless (entrance: Entrance): boolean {
    return this._clock.now() + this._serviceMilliseconds > entrance.deadline
  }

  private _enter ({ team, bytes }: Entrance): Backlog {
    const backlog = this._backlogs.get(team) ?? { requests: 0, bytes: 0 }
    backlog.requests += 1
    backlog.bytes += bytes
    this._backlogs.set(team, backlog)
    return backlog
  }
}
