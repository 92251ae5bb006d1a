/**
 * One life of an emulated worker.
 */
import type { Clock } from '../../src/supervision/clock.js'
import { Notifier } from '../../src/supervision/notifier.js'

/** A run under way. */
interface Run {
  readonly task: string
  readonly run: number
  readonly startedAt: number
  /** Epoch milliseconds at which it ends by itself; Infinity for a lasting task. */
  readonly endsAt: number
  readonly how: 'done' | 'failed'
}

/** What a start of the emulated worker is told of a task's fate. */
interface TaskFate {
  /** Run time; Infinity for a task that lasts. */
  readonly milliseconds: number
  readonly how: 'done' | 'failed'
}

/** Clock of a worker at its start, in milliseconds. */
const CLOCK_START_MILLISECONDS = 1_000

/** Keeps runs under a lease on its own clock, refuses lower tokens, lists ends until they are acknowledged. */
export class EmulatedWorker {
  readonly born: number
  /** Whether it shuts down. */
  isDraining = false
  /** Whether nothing reaches it and nothing leaves it. */
  isCut = false
  /** Whether this life is over. */
  isDead = false
  /** Pace of its clock against the true one. */
  clockRate = 1
  /** All starts, for the checker. */
  readonly starts: { task: string, run: number, at: number }[] = []
  /** All ends, with the moment at which they were acknowledged. */
  readonly ends: { task: string, run: number, how: string, at: number, acknowledgedAt: number }[] = []
  private readonly _runs = new Map<string, Run>()
  private _ended: [number, string, number, string, string][] = []
  private readonly _highest = new Map<string, number>()
  private _token = 0
  private _deadline = 0
  private _number = 0
  private readonly _changed = new Notifier()

  constructor (
    readonly id: string, readonly pool: string, readonly address: string, readonly zone: string, readonly machine: string,
    private readonly _clock: Clock, private readonly _fate: (task: string, run: number) => TaskFate, private readonly _maximumLeaseMilliseconds: number
  ) {
    this.born = _clock.now()
  }

  /** Its clock. */
  get clock (): number {
    return CLOCK_START_MILLISECONDS + (this._clock.now() - this.born) * this.clockRate
  }

  /** Tasks that run now. */
  get running (): string[] {
    this.settle()
    return [...this._runs.keys()]
  }

  /** Ends everything, as a move or a crash does. */
  kill (): void {
    this.settle()
    for (const { task, run } of this._runs.values()) this.ends.push({ task, run, how: 'killed', at: this._clock.now(), acknowledgedAt: Infinity })
    this._runs.clear()
    this.isDead = true
  }

  /** Carries an order out; status and body of the answer. */
  async handle (order: string, body: Record<string, never>): Promise<{ status: number, body: object }> {
    this.settle()
    const request = body as unknown as { task: string, run: number, fencing_token?: number, deadline_ms?: number, last_seen?: number, wait_ms?: number }
    const token = request.fencing_token ?? 0
    if (token < this._token) return this._refuse('fence')
    this._token = token
    switch (order) {
      case 'run-start': return this._start(request.task, request.run, request.deadline_ms ?? 0)
      case 'run-stop': return this._stop(request.task, request.run)
      case 'pace': return { status: 200, body: { clock_ms: this.clock } }
      case 'hold': return this._hold(request.last_seen ?? 0, request.deadline_ms ?? 0, request.wait_ms ?? 0)
      default: return { status: 404, body: {} }
    }
  }

  private _start (task: string, run: number, deadline: number): { status: number, body: object } {
    if (this._runs.get(task)?.run === run) return { status: 200, body: { clock_ms: this.clock } }
    this._extend(deadline)
    if (run <= (this._highest.get(task) ?? 0)) return this._refuse('old')
    if (deadline <= this.clock) return this._refuse('late')
    this._highest.set(task, run)
    const { milliseconds, how } = this._fate(task, run)
    const startedAt = this._clock.now()
    this._runs.set(task, { task, run, startedAt, endsAt: startedAt + milliseconds, how })
    this.starts.push({ task, run, at: startedAt })
    this._changed.notify()
    return { status: 200, body: { clock_ms: this.clock } }
  }

  private _stop (task: string, run: number): { status: number, body: object } {
    this._highest.set(task, Math.max(this._highest.get(task) ?? 0, run))
    if (this._runs.get(task)?.run === run) this._end(task, 'stopped', this._clock.now())
    return { status: 200, body: { clock_ms: this.clock } }
  }

  private async _hold (acknowledged: number, deadline: number, wait: number): Promise<{ status: number, body: object }> {
    this._extend(deadline)
    for (const [number, task, run] of this._ended) {
      const end = number <= acknowledged ? this.ends.find(candidate => candidate.task === task && candidate.run === run) : undefined
      if (end) end.acknowledgedAt = Math.min(end.acknowledgedAt, this._clock.now())
    }
    this._ended = this._ended.filter(([number]) => number > acknowledged)
    const until = this._clock.now() + wait
    while (this._ended.length === 0 && this._clock.now() < until) {
      // A lease only ends something while something runs.
      const next = Math.min(until, ...this._runs.size > 0 ? [this._leaseEnd()] : [], ...[...this._runs.values()].map(({ endsAt }) => endsAt))
      await this._changed.wait(this._clock, next)
      this.settle()
    }
    return {
      status: 200,
      body: {
        born: this.born,
        clock_ms: this.clock,
        running: [...this._runs.values()].map(({ task, run }) => [task, run, '', 100, 0]),
        ended: this._ended
      }
    }
  }

  private _leaseEnd (): number {
    return this._clock.now() + Math.max(0, this._deadline - this.clock) / this.clockRate
  }

  private _extend (deadline: number): void {
    this._deadline = Math.max(this._deadline, Math.min(deadline, this.clock + this._maximumLeaseMilliseconds))
  }

  /** Lets what is due happen. */
  settle (): void {
    const now = this._clock.now()
    const lapsedAt = now - Math.max(0, this.clock - this._deadline) / this.clockRate
    for (const { task, endsAt, how } of [...this._runs.values()]) {
      if (endsAt <= Math.min(now, lapsedAt)) this._end(task, how, endsAt)
      else if (this.clock >= this._deadline) this._end(task, 'lapsed', lapsedAt)
    }
  }

  private _end (task: string, how: string, at: number): void {
    const run = this._runs.get(task)?.run ?? 0
    this._runs.delete(task)
    this._number += 1
    this._ended.push([this._number, task, run, how, ''])
    this.ends.push({ task, run, how, at, acknowledgedAt: Infinity })
    this._changed.notify()
  }

  private _refuse (reason: string): { status: number, body: object } {
    return { status: 409, body: { clock_ms: this.clock, reason } }
  }
}
