/**
 * The queue of requests that wait for slots of one pool at one entry process.
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
import type { SlotAllocation } from './slot-allocation.js'

/** Service time assumed until the first request has ended. */
const INITIAL_SERVICE_TIME_MILLISECONDS = 50

/** Lower bound for a team's slots in the calculation of its expected wait. */
const MINIMUM_SLOTS = 0.1

/** Weight of a new sample in the mean service time, once there are many samples. */
const MINIMUM_SMOOTHING_FACTOR = 0.005

/**
 * A request is queued only if this many mean service times remain between the end of its expected wait and its deadline. Service times vary widely:
 * with a margin of one mean, a third of the requests that start last would miss their deadlines.
 */
const DEADLINE_MARGIN_SERVICE_TIMES = 3

/** A request for a slot. */
interface SlotRequest {
  readonly requestId: string
  readonly team: string | null
  readonly queue: Queue
  /** Size of the body held in memory. */
  readonly bytes: number
  /** Epoch milliseconds. */
  readonly deadline: number
  /** Whether the request has been attempted before; it then goes to the front of its team's queue. */
  readonly isRetry: boolean
  readonly signal: AbortSignal
}

/** Options that `p-queue` passes on to the queue class. */
type JobOptions = QueueAddOptions & { team?: string | null, isUrgent?: boolean }

/** Number and size of a team's waiting requests. */
interface Backlog {
  requests: number
  bytes: number
}

/**
 * Queues requests in weighted fair order until a slot is available, and refuses those that would wait too long.
 * Built on `p-queue`; at most as many requests run as this process has slots allocated.
 */
export class PoolQueue {
  private readonly _requests: FairShareQueue
  private readonly _jobs: PQueue<FairShareQueue, JobOptions>
  private readonly _backlogs = new Map<string | null, Backlog>()
  private readonly _runningByTeam = new Map<string | null, number>()
  private _allocation: SlotAllocation = { total: 1, byTeam: new Map() }
  private _slots = 1
  private _slotRemainder = 0
  private _running = 0
  private _serviceTimeSamples = 0
  private _meanServiceMilliseconds = INITIAL_SERVICE_TIME_MILLISECONDS

  /**
   * @param pool name of the pool.
   * @param _share share of a team; its weight while it has no slots allocated.
   * @param _onArrival called when a request enters the queue.
   */
  constructor (
    readonly pool: string,
    private readonly _clock: Clock,
    private readonly _ledger: LimitLedger,
    private readonly _share: (team: string | null) => number,
    private readonly _onArrival: () => void,
    private readonly _metrics: Metrics
  ) {
    const fairQueue = new FairShareQueue(
      team => this._running < this._slots && this._ledger.mayStart(team),
      team => this._allocation.byTeam.get(team) ?? this._share(team),
      () => this._meanServiceMilliseconds
    )
    this._requests = fairQueue
    // `p-queue` constructs its queue itself; this class makes it use the one constructed
    // here. That queue decides whether a request may start, so the concurrency is unbounded.
    const QueueClass = class { constructor () { return fairQueue } } as unknown as new () => FairShareQueue
    this._jobs = new PQueue<FairShareQueue, JobOptions>({ queueClass: QueueClass, concurrency: Number.POSITIVE_INFINITY })
  }

  /** Number of running requests. */
  get running (): number {
    return this._running
  }

  /** Number of waiting requests. */
  get waiting (): number {
    return this._requests.teams().reduce((sum, team) => sum + this._requests.waitingOf(team), 0)
  }

  /** Mean service time of recent requests, in milliseconds. */
  get meanServiceMilliseconds (): number {
    return this._meanServiceMilliseconds
  }

  /** Number of a team's waiting requests. */
  waitingOf (team: string | null): number {
    return this._requests.waitingOf(team)
  }

  /** Number of running and waiting requests of each team that has any. */
  demands (): { team: string | null, running: number, waiting: number }[] {
    return this._requests.teams()
      .map(team => ({ team, running: this._runningByTeam.get(team) ?? 0, waiting: this._requests.waitingOf(team) }))
      .filter(({ running, waiting }) => running + waiting > 0)
  }

  /**
   * Sets the slots that this process may use. A fractional slot is carried over to the next
   * call, so that the allocations of all processes add up to the pool's slots on average.
   */
  setAllocation (allocation: SlotAllocation): void {
    this._allocation = allocation
    const exact = allocation.total + this._slotRemainder
    this._slots = Math.max(0, Math.floor(exact))
    this._slotRemainder = exact - this._slots
    this.wake()
  }

  /** Starts the requests that may start now; call when limits or slots have increased. */
  wake (): void {
    // Setting the concurrency makes `p-queue` check its queue again.
    this._jobs.concurrency = Number.POSITIVE_INFINITY
  }

  /** Waits for a slot. After a refusal, the request is no longer queued and has not run. */
  async acquire (request: SlotRequest): Promise<Either<Refusal, Slot>> {
    const refusal = this._checkLimits(request)
    if (refusal) return Left(refusal)
    this._onArrival()
    const enteredAt = this._clock.now()
    const backlog = this._addToBacklog(request)
    const slot = await this._waitForSlot(request)
    backlog.requests -= 1
    backlog.bytes -= request.bytes
    this._metrics.timing('requests.wait.milliseconds', this._clock.now() - enteredAt, this.pool)
    return slot
  }

  private async _waitForSlot (request: SlotRequest): Promise<Either<Refusal, Slot>> {
    const { requestId, team, deadline, signal } = request
    const timerController = new AbortController()
    const stop = (): void => timerController.abort()
    signal.addEventListener('abort', stop, { once: true })
    const settled = new Promise<Either<Refusal, Slot>>(resolve => {
      void this._jobs.add(() => this._holdSlot(request, resolve), { id: requestId, team, isUrgent: request.isRetry })
      void this._clock.sleepUntil(deadline, timerController.signal).catch(() => {}).then(() => {
        this._requests.remove(requestId)
        resolve(Left(new Refusal('deadline-passed', 'not-run', 'the deadline passed while the request waited', 1)))
      })
    })
    const result = await settled
    signal.removeEventListener('abort', stop)
    timerController.abort()
    return result
  }

  /** Runs as a job of `p-queue`: resolves with the slot and ends when the slot is released. */
  private async _holdSlot (request: SlotRequest, resolve: (slot: Either<Refusal, Slot>) => void): Promise<void> {
    const { team } = request
    let startedAt: number | null = null
    const begin = (): void => { startedAt = this._clock.now() }
    const chargedMilliseconds = this._meanServiceMilliseconds
    if (request.signal.aborted || this._isTooLate(request)) {
      this._requests.charge(team, -chargedMilliseconds)
      resolve(Left(new Refusal('deadline-passed', 'not-run', 'too little time was left to run the request', 1)))
      return
    }
    this._start(team)
    await new Promise<void>(_resolve => resolve(Right({ begin, release: _resolve })))
    const serviceMilliseconds = startedAt === null ? 0 : this._clock.now() - startedAt
    this._requests.charge(team, serviceMilliseconds - chargedMilliseconds)
    if (startedAt !== null) this._recordServiceTime(serviceMilliseconds)
    this._end(team)
  }

  /**
   * Updates the mean service time: the arithmetic mean of the first samples, an exponential
   * moving average later. A mean that varied quickly would admit requests in bursts.
   */
  private _recordServiceTime (serviceMilliseconds: number): void {
    this._serviceTimeSamples += 1
    this._meanServiceMilliseconds += Math.max(MINIMUM_SMOOTHING_FACTOR, 1 / (1 + this._serviceTimeSamples)) * (serviceMilliseconds - this._meanServiceMilliseconds)
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

  /** Refuses a request if its team's backlog is full or its deadline probably can't be met. Retries are always accepted. */
  private _checkLimits (request: SlotRequest): Refusal | null {
    const { queue, team, bytes, isRetry } = request
    if (isRetry) return null
    const backlog = this._backlogs.get(team)
    if ((backlog?.requests ?? 0) >= queue.maximumQueuedRequests || (backlog?.bytes ?? 0) + bytes > queue.maximumQueuedBytes) {
      return new Refusal('queue-full', 'not-run', `queue ${queue.name} holds all it may for the team`, this._retryAfter(team))
    }
    const expectedCompletionAt = this._clock.now() + this._expectedWait(team) + DEADLINE_MARGIN_SERVICE_TIMES * this._meanServiceMilliseconds
    if ((backlog?.requests ?? 0) > 0 && expectedCompletionAt > request.deadline) {
      return new Refusal('no-capacity', 'not-run', 'the deadline would pass before the request could run', this._retryAfter(team))
    }
    return null
  }

  /** Expected milliseconds until a team's waiting requests have started, based on its allocated slots. A team without an allocation may still get all slots. */
  private _expectedWait (team: string | null): number {
    const slots = Math.max(this._allocation.byTeam.get(team) ?? this._slots, MINIMUM_SLOTS)
    return this._requests.waitingOf(team) * this._meanServiceMilliseconds / slots
  }

  private _retryAfter (team: string | null): number {
    return Math.min(60, Math.max(1, Math.ceil(this._expectedWait(team) / 1_000)))
  }

  private _isTooLate (request: SlotRequest): boolean {
    return this._clock.now() + this._meanServiceMilliseconds > request.deadline
  }

  private _addToBacklog ({ team, bytes }: SlotRequest): Backlog {
    const backlog = this._backlogs.get(team) ?? { requests: 0, bytes: 0 }
    backlog.requests += 1
    backlog.bytes += bytes
    this._backlogs.set(team, backlog)
    return backlog
  }
}
