/**
 * One incarnation of an emulated worker.
 */
import type { Clock } from '../../src/supervision/clock.js'
import { Notifier } from '../../src/supervision/notifier.js'

/** An active run. */
interface ActiveRun {
  readonly task: string
  readonly run: number
  readonly startedAt: number
  /** Epoch milliseconds at which the run completes by itself; Infinity for a lasting task. */
  readonly completesAt: number
  readonly result: RunOutcome['result']
}

/** Duration and result of a run, chosen when it starts. */
interface RunOutcome {
  /** Duration of the run; Infinity for a lasting task. */
  readonly milliseconds: number
  /** `crash`: the run crashes the worker. */
  readonly result: 'done' | 'failed' | 'crash'
}

/** Reading of a worker's clock when it starts, in milliseconds. */
const INITIAL_CLOCK_MILLISECONDS = 1_000

/** Maximum number of completions in one response. */
const COMPLETIONS_PER_RESPONSE = 500

/** Resources of a worker unless it is given others. */
const DEFAULT_CAPACITY = { cpu: 64_000, mem_mb: 131_072 }

/**
 * Executes runs under a lease that is measured on the worker's own clock, refuses calls with a lower fencing token than one
 * already seen, and reports run completions until they are acknowledged.
 */
export class EmulatedWorker {
  /** Epoch milliseconds of the start of this incarnation. */
  readonly startedAt: number
  /** Epoch milliseconds since which the worker has been shutting down; Infinity if it isn't. */
  drainingSince = Infinity
  /** Whether no call reaches the worker and no response leaves it. */
  isDisconnected = false
  /** Whether this incarnation has ended. */
  isTerminated = false
  /** Rate of the worker's clock relative to the true clock. */
  clockRate = 1
  /** Resources that the worker has reported in its registry entry, each with the epoch milliseconds since when; the last one is in force. */
  readonly capacities: { cpu: number, mem_mb: number, since: number }[] = []
  /** Time that a stop takes, in milliseconds. */
  stopMilliseconds = 0
  /** Time after its start until a run is at work, in milliseconds. */
  warmUpMilliseconds = 0
  /** Whether the worker refuses every start for want of room. */
  refusesStarts = false
  /** Whether a start is late by the lease that is in force rather than by its own deadline. */
  judgesStartsByLease = false
  /** Rows of other kinds that the worker lists beside its own. */
  oddRows: { running: unknown[], ended: unknown[] } = { running: [], ended: [] }
  /** Called when a run crashes the worker. */
  onCrash: () => void = () => {}
  /** Speeds in percent of the tasks that have been throttled since their start. */
  readonly speeds = new Map<string, number>()
  /** Returns the load that a run reports at a speed: milliseconds of response time, or millicores in use. */
  load: (task: string, speedPercent: number) => number = () => 0
  /** All runs started, for checks. */
  readonly starts: { task: string, run: number, startedAt: number }[] = []
  /** All run completions; `acknowledgedAt` is Infinity until the completion is acknowledged. */
  readonly completions: { task: string, run: number, result: string, completedAt: number, acknowledgedAt: number }[] = []
  /** Epoch milliseconds at which leases had expired that a call renewed afterwards, for checks. */
  readonly leaseExpiries: number[] = []
  /** The first stop of each run that was there, for checks. */
  readonly stopOrders: { task: string, run: number, at: number }[] = []
  private readonly _runs = new Map<string, ActiveRun>()
  /** Completions to report: number, task, run, result and checkpoint. */
  private _unacknowledgedCompletions: [number, string, number, string, string][] = []
  /** Highest run number seen for each task. */
  private readonly _highestRuns = new Map<string, number>()
  private _highestToken = 0
  private _leaseDeadline = 0
  private _lastCompletionNumber = 0
  private readonly _changed = new Notifier()

  constructor (
    readonly id: string, readonly pool: string, readonly address: string, readonly zone: string, readonly virtualMachine: string,
    private readonly _clock: Clock, private readonly _outcome: (task: string, run: number, worker: string) => RunOutcome, private readonly _maximumLeaseMilliseconds: number, capacity = DEFAULT_CAPACITY
  ) {
    this.startedAt = _clock.now()
    this.resize(capacity)
  }

  /** Whether the worker is shutting down. */
  get isDraining (): boolean {
    return this.drainingSince < Infinity
  }

  /** Resources that the worker reports. */
  get capacity (): { cpu: number, mem_mb: number } {
    return this.capacities[this.capacities.length - 1] ?? DEFAULT_CAPACITY
  }

  /** Changes the resources that the worker reports. */
  resize (capacity: { cpu: number, mem_mb: number }): void {
    this.capacities.push({ ...capacity, since: this._clock.now() })
  }

  /** Reading of the worker's own clock, in milliseconds. */
  get clockMilliseconds (): number {
    return INITIAL_CLOCK_MILLISECONDS + (this._clock.now() - this.startedAt) * this.clockRate
  }

  /** Tasks that have an active run. */
  get running (): string[] {
    this.completeDueRuns()
    return [...this._runs.keys()]
  }

  /** Terminates this incarnation and all its runs, as a move of its VM or a crash does. */
  terminate (): void {
    this.completeDueRuns()
    for (const { task, run } of this._runs.values()) this.completions.push({ task, run, result: 'killed', completedAt: this._clock.now(), acknowledgedAt: Infinity })
    this._runs.clear()
    this.isTerminated = true
    this._changed.notify()
  }

  /** Lets an active run fail. */
  failRun (task: string): void {
    this.completeDueRuns()
    if (this._runs.has(task)) this._complete(task, 'failed', this._clock.now())
  }

  /** Executes a call and returns the status and body of its response. */
  async handle (call: string, body: Record<string, never>): Promise<{ status: number, body: object }> {
    this.completeDueRuns()
    const request = body as unknown as { task: string, run: number, fencing_token?: number, deadline_ms?: number, last_seen?: number, wait_ms?: number, percent?: number }
    const token = request.fencing_token ?? 0
    if (token < this._highestToken) return this._refuse('fence')
    this._highestToken = token
    switch (call) {
      case 'run-start': return this._startRun(request.task, request.run, request.deadline_ms ?? 0)
      case 'run-stop': return this._stopRun(request.task, request.run)
      case 'pace': return this._throttle(request.task, request.run, request.percent ?? 100)
      case 'hold': return this._renewLease(request.last_seen ?? 0, request.deadline_ms ?? 0, request.wait_ms ?? 0)
      default: return { status: 404, body: {} }
    }
  }

  private _startRun (task: string, run: number, deadline: number): { status: number, body: object } {
    if (this._runs.get(task)?.run === run) return { status: 200, body: { clock_ms: this.clockMilliseconds } }
    this._extendLease(deadline)
    if (run <= (this._highestRuns.get(task) ?? 0)) return this._refuse('old')
    if ((this.judgesStartsByLease ? this._leaseDeadline : deadline) <= this.clockMilliseconds) return this._refuse('late')
    if (this.refusesStarts) return this._refuse('room')
    this._highestRuns.set(task, run)
    this.speeds.delete(task)
    const { milliseconds, result } = this._outcome(task, run, this.id)
    const startedAt = this._clock.now()
    this._runs.set(task, { task, run, startedAt, completesAt: startedAt + milliseconds, result })
    this.starts.push({ task, run, startedAt })
    if (result === 'crash') this._crashAt(startedAt + milliseconds, task, run)
    this._changed.notify()
    return { status: 200, body: { clock_ms: this.clockMilliseconds } }
  }

  private _stopRun (task: string, run: number): { status: number, body: object } {
    this._highestRuns.set(task, Math.max(this._highestRuns.get(task) ?? 0, run))
    if (this._runs.get(task)?.run !== run) return { status: 200, body: { clock_ms: this.clockMilliseconds } }
    if (!this.stopOrders.some(order => order.task === task && order.run === run)) this.stopOrders.push({ task, run, at: this._clock.now() })
    if (this.stopMilliseconds === 0) this._complete(task, 'stopped', this._clock.now())
    else this._completeStop(task, run).catch(() => {})
    return { status: 200, body: { clock_ms: this.clockMilliseconds } }
  }

  private _throttle (task: string, run: number, percent: number): { status: number, body: object } {
    if (this._runs.get(task)?.run === run) this.speeds.set(task, percent)
    return { status: 200, body: { clock_ms: this.clockMilliseconds } }
  }

  private async _renewLease (acknowledged: number, deadline: number, waitMilliseconds: number): Promise<{ status: number, body: object }> {
    this._extendLease(deadline)
    for (const [number, task, run] of this._unacknowledgedCompletions) {
      const completion = number <= acknowledged ? this.completions.find(candidate => candidate.task === task && candidate.run === run) : undefined
      if (completion) completion.acknowledgedAt = Math.min(completion.acknowledgedAt, this._clock.now())
    }
    this._unacknowledgedCompletions = this._unacknowledgedCompletions.filter(([number]) => number > acknowledged)
    const waitDeadline = this._clock.now() + waitMilliseconds
    while (this._unacknowledgedCompletions.length === 0 && !this.isTerminated && this._clock.now() < waitDeadline) {
      // Lease expiry matters only while a run is active.
      const nextEventAt = Math.min(waitDeadline, ...this._runs.size > 0 ? [this._leaseExpiresAt()] : [], ...[...this._runs.values()].map(({ completesAt }) => completesAt))
      await this._changed.wait(this._clock, nextEventAt)
      this.completeDueRuns()
    }
    return {
      status: 200,
      body: {
        born: this.startedAt,
        clock_ms: this.clockMilliseconds,
        running: [...this.oddRows.running, ...[...this._runs.values()].map(({ task, run, startedAt }) => [task, run, '', this._clock.now() < startedAt + this.warmUpMilliseconds ? 0 : 100, this.load(task, this.speeds.get(task) ?? 100)])],
        ended: [...this._unacknowledgedCompletions.slice(0, COMPLETIONS_PER_RESPONSE), ...this.oddRows.ended]
      }
    }
  }

  private _leaseExpiresAt (): number {
    return this._clock.now() + Math.max(0, this._leaseDeadline - this.clockMilliseconds) / this.clockRate
  }

  private _extendLease (deadline: number): void {
    const isRenewed = Math.min(deadline, this.clockMilliseconds + this._maximumLeaseMilliseconds) > this._leaseDeadline
    if (isRenewed && this._leaseDeadline > 0 && this.clockMilliseconds >= this._leaseDeadline) this.leaseExpiries.push(this._clock.now() - (this.clockMilliseconds - this._leaseDeadline) / this.clockRate)
    this._leaseDeadline = Math.max(this._leaseDeadline, Math.min(deadline, this.clockMilliseconds + this._maximumLeaseMilliseconds))
  }

  /** Completes all runs whose duration is over or whose lease has expired. */
  completeDueRuns (): void {
    const now = this._clock.now()
    const leaseExpiredAt = now - Math.max(0, this.clockMilliseconds - this._leaseDeadline) / this.clockRate
    for (const { task, completesAt, result } of [...this._runs.values()]) {
      if (result !== 'crash' && completesAt <= Math.min(now, leaseExpiredAt)) this._complete(task, result, completesAt)
      else if (this.clockMilliseconds >= this._leaseDeadline) this._complete(task, 'lapsed', leaseExpiredAt)
    }
  }

  private _complete (task: string, result: string, at: number): void {
    const run = this._runs.get(task)?.run ?? 0
    this._runs.delete(task)
    this._lastCompletionNumber += 1
    this._unacknowledgedCompletions.push([this._lastCompletionNumber, task, run, result, ''])
    this.completions.push({ task, run, result, completedAt: at, acknowledgedAt: Infinity })
    this._changed.notify()
  }

  private async _completeStop (task: string, run: number): Promise<void> {
    await this._clock.sleepUntil(this._clock.now() + this.stopMilliseconds)
    if (this._runs.get(task)?.run === run) this._complete(task, 'stopped', this._clock.now())
  }

  private _crashAt (crashesAt: number, task: string, run: number): void {
    this._clock.sleepUntil(crashesAt).then(() => {
      if (!this.isTerminated && this._runs.get(task)?.run === run) this.onCrash()
    }).catch(() => {})
  }

  private _refuse (reason: string): { status: number, body: object } {
    return { status: 409, body: { clock_ms: this.clockMilliseconds, reason } }
  }
}
