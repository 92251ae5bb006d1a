/**
 * One caller with connections of its own.
 */
import { Pool } from 'undici'
import { jobBody } from '../stand-ins/emulator/job-body.js'
import type { Clock } from '../src/supervision/clock.js'
import type { RandomSource } from '../src/supervision/random-source.js'
import { Task } from '../src/supervision/task.js'
import type { Calm } from './calm.js'
import type { JobEntry } from './job-entry.js'
import type { JobLedger } from './job-ledger.js'
import type { NodeProcess } from './node-process.js'

/** How long a caller waits for an answer, in milliseconds. */
const DEADLINE_MILLISECONDS = 3_000

/** Attempts to hand one job in. */
const ATTEMPTS = 5

/** Pauses between two calls, in milliseconds. */
const PAUSE_MILLISECONDS = { least: 100, most: 500 }

/** Time after a request's last byte within which a process may not have read it, in milliseconds. */
const READ_MILLISECONDS = 200

/** Share of jobs that are cancelled, and of those that last. */
const CANCELLED_SHARE = 0.15
const LASTING_SHARE = 0.03

/** Digits of an ID, and their base. */
const ID_DIGITS = 16
const HEXADECIMAL = 16

/** Hands jobs in, asks for their states, cancels some. It uses an open connection until the process is gone. */
export class CallerTask extends Task {
  override readonly name = 'caller'
  private readonly _pools = new Map<NodeProcess, Pool>()
  private readonly _own: JobEntry[] = []

  /** @param _key of the caller's team, which may be withdrawn. */
  constructor (
    private readonly _number: number, private readonly _nodes: readonly NodeProcess[], private readonly _ledger: JobLedger, private readonly _calm: Calm,
    private readonly _key: () => string, private readonly _clock: Clock, private readonly _random: RandomSource
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    for (let count = 0; !signal.aborted; count++) {
      const entry = await this._submit(count)
      this._own.push(entry)
      if (entry.acceptedAt < Infinity && this._random.next() < CANCELLED_SHARE) await this._cancel(entry)
      const asked = this._own[this._random.integer(this._own.length)]
      if (asked) await this.ask(asked)
      const pause = PAUSE_MILLISECONDS.least + this._random.integer(PAUSE_MILLISECONDS.most - PAUSE_MILLISECONDS.least)
      await this._clock.sleepUntil(this._clock.now() + pause, signal).catch(() => {})
    }
  }

  /** Asks any process for a job's state. */
  async ask (entry: JobEntry): Promise<void> {
    const answer = await this._call('GET', entry.id)
    this._ledger.show(entry, answer.status, answer.state)
  }

  /** Ends the caller's connections. */
  async close (): Promise<void> {
    await Promise.all([...this._pools.values()].map(pool => pool.destroy()))
  }

  private async _submit (count: number): Promise<JobEntry> {
    const id = (this._number % HEXADECIMAL).toString(HEXADECIMAL) + count.toString(HEXADECIMAL).padStart(ID_DIGITS - 1, '0')
    const width = 1 + this._random.integer(4)
    const isLasting = this._random.next() < LASTING_SHARE
    const steps = isLasting ? [{ count: 2, isLasting, millicores: 2_000 }] : [{ count: width, millicores: 2_000, estimateMilliseconds: 500 }, { count: 1, millicores: 1_000, estimateMilliseconds: 300, after: [0] }]
    const entry = this._ledger.open(id, steps.flatMap(({ count: tasks }, step) => Array.from({ length: tasks }, (_, index) => `${id}.0.${step}.${index}`)), isLasting)
    for (let attempt = 0; attempt < ATTEMPTS && entry.acceptedAt === Infinity; attempt++) {
      const { status } = await this._call('POST', id, jobBody(steps))
      if (status === 200) entry.acceptedAt = this._clock.now()
      else if (status === 0 || status === 504 || status === 502) entry.openAttempts += 1
    }
    return entry
  }

  private async _cancel (entry: JobEntry): Promise<void> {
    entry.isCancelSent = true
    const { status } = await this._call('DELETE', entry.id)
    if (status === 200) entry.cancelledAt = this._clock.now()
  }

  /** One call to one process; status 0 stands for no answer. */
  private async _call (method: 'GET' | 'POST' | 'DELETE', id: string, body?: object): Promise<{ status: number, state: string }> {
    const node = this._nodes[this._random.integer(this._nodes.length)]
    if (!node) return { status: 0, state: '' }
    const sentAt = this._clock.now()
    const headers = { host: 'soak.example', authorization: `Bearer ${this._key()}`, 'deadline-ms': String(DEADLINE_MILLISECONDS), ...(body ? { 'content-type': 'application/json' } : {}) }
    try {
      const answer = await this._pool(node).request({ method, path: `/q/${id}`, headers, body: body ? JSON.stringify(body) : null, signal: AbortSignal.timeout(DEADLINE_MILLISECONDS) })
      const document = await answer.body.json() as { state?: string }
      this._ledger.count(method, answer.statusCode)
      return { status: answer.statusCode, state: document.state ?? '' }
    } catch (error) {
      this._ledger.count(method, 0)
      this._judge(node, method, id, sentAt, error as NodeJS.ErrnoException)
      return { status: 0, state: '' }
    }
  }

  /** A planned stop breaks no request off that the process has read. */
  private _judge (node: NodeProcess, method: string, id: string, sentAt: number, error: NodeJS.ErrnoException): void {
    const age = this._clock.now() - sentAt
    const isBrokenOff = error.code === 'UND_ERR_SOCKET' || error.code === 'ECONNRESET'
    if (!isBrokenOff || age < READ_MILLISECONDS || !this._calm.isCalm(sentAt, this._clock.now())) return
    this._ledger.findings.push(`${method} ${id} at ${node.layout.name}: broken off after ${Math.round(age)} ms without a fault (${error.message})`)
  }

  private _pool (node: NodeProcess): Pool {
    const pool = this._pools.get(node) ?? new Pool(node.origin, { connections: 1, keepAliveTimeout: 60_000 })
    this._pools.set(node, pool)
    return pool
  }
}
