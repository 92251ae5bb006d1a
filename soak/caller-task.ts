/**
 * A caller that submits jobs over its own connections.
 */
import { Pool } from 'undici'
import { jobBody } from '../stand-ins/emulator/job-body.js'
import type { RandomSource } from '../src/supervision/random-source.js'
import { Task } from '../src/supervision/task.js'
import type { JobEntry } from './job-entry.js'
import type { JobMix } from './job-mix.js'
import type { NodeProcess } from './node-process.js'
import type { SoakFleet } from './soak-fleet.js'

/** Time that a caller waits for a response. */
const REQUEST_TIMEOUT_MILLISECONDS = 3_000

/** Maximum number of attempts to submit a job. */
const SUBMISSION_ATTEMPTS = 5

/** Bounds of the pause between two jobs. */
const PAUSE_MILLISECONDS = { minimum: 100, maximum: 500 }

/** Time after sending a request during which a process may not have read it yet. */
const REQUEST_READ_MILLISECONDS = 200

/** Fraction of jobs that are cancelled. */
const CANCELLED_FRACTION = 0.15

/** Maximum time from the response that accepts a job until it is submitted again. */
const RESUBMISSION_MILLISECONDS = 5_000

/** Number of hexadecimal digits in a job ID. */
const ID_DIGITS = 16
const HEXADECIMAL_RADIX = 16

/** Submits jobs, queries their states and cancels some. It uses each connection until the process closes it. */
export class CallerTask extends Task {
  override readonly name = 'caller'
  private readonly _pools = new Map<NodeProcess, Pool>()
  private readonly _submittedJobs: JobEntry[] = []

  constructor (private readonly _index: number, private readonly _fleet: SoakFleet, private readonly _jobs: JobMix, private readonly _random: RandomSource) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    for (let count = 0; !signal.aborted; count++) {
      const entry = await this._submit(count, signal)
      this._submittedJobs.push(entry)
      if (entry.acceptedAt < Infinity && this._random.next() < CANCELLED_FRACTION) await this._cancel(entry)
      const queried = this._submittedJobs[this._random.integer(this._submittedJobs.length)]
      if (queried) await this.queryState(queried)
      const pause = PAUSE_MILLISECONDS.minimum + this._random.integer(PAUSE_MILLISECONDS.maximum - PAUSE_MILLISECONDS.minimum)
      await this._fleet.clock.sleepUntil(this._fleet.clock.now() + pause, signal).catch(() => {})
    }
  }

  /** Queries a job's state at a random process and records it. */
  async queryState (entry: JobEntry): Promise<void> {
    const response = await this._call('GET', entry.id)
    this._fleet.ledger.recordState(entry, response.status, response.state)
  }

  /** Closes the caller's connections. */
  async close (): Promise<void> {
    await Promise.all([...this._pools.values()].map(pool => pool.destroy()))
  }

  private async _submit (count: number, signal: AbortSignal): Promise<JobEntry> {
    const id = (this._index % HEXADECIMAL_RADIX).toString(HEXADECIMAL_RADIX) + count.toString(HEXADECIMAL_RADIX).padStart(ID_DIGITS - 1, '0')
    const width = 1 + this._random.integer(this._jobs.maximumTasks)
    const isLasting = this._random.next() < this._jobs.lastingFraction
    const steps = isLasting ? [{ count: this._jobs.lastingTasks, isLasting, millicores: 2_000, ...(this._jobs.spreadsLastingTasks ? { antiAffinity: 1 } : {}) }] : [{ count: width, millicores: 2_000, estimateMilliseconds: 500 }, { count: 1, millicores: 1_000, estimateMilliseconds: 300, after: [0] }]
    const entry = this._fleet.ledger.add(id, steps.flatMap(({ count: tasks }, step) => Array.from({ length: tasks }, (_, index) => `${id}.0.${step}.${index}`)), isLasting)
    for (let attempt = 0; attempt < SUBMISSION_ATTEMPTS && entry.acceptedAt === Infinity; attempt++) {
      const { status } = await this._call('POST', id, jobBody(steps))
      if (status === 200) entry.acceptedAt = this._fleet.clock.now()
      else if (status === 0 || status === 504 || status === 502) entry.unconfirmedAttempts += 1
    }
    const isResubmitted = this._jobs.resubmittedFraction > 0 && this._random.next() < this._jobs.resubmittedFraction
    if (isResubmitted && entry.acceptedAt < Infinity) this._submitAgain(id, jobBody(steps), signal).catch(() => {})
    return entry
  }

  /** Submits an accepted job once more after some time, unless the run ends before. */
  private async _submitAgain (id: string, body: object, signal: AbortSignal): Promise<void> {
    const { clock } = this._fleet
    await clock.sleepUntil(clock.now() + this._random.integer(RESUBMISSION_MILLISECONDS), signal)
    await this._call('POST', id, body)
  }

  private async _cancel (entry: JobEntry): Promise<void> {
    entry.cancellationSentAt = this._fleet.clock.now()
    const { status } = await this._call('DELETE', entry.id)
    if (status === 200) entry.cancelledAt = this._fleet.clock.now()
  }

  /** Sends a request to a random process; status 0 stands for no response. */
  private async _call (method: 'GET' | 'POST' | 'DELETE', id: string, body?: object): Promise<{ status: number, state: string }> {
    const node = this._fleet.nodes[this._random.integer(this._fleet.nodes.length)]
    if (!node) return { status: 0, state: '' }
    const sentAt = this._fleet.clock.now()
    const headers = { host: 'soak.example', authorization: `Bearer ${this._fleet.key}`, 'deadline-ms': String(REQUEST_TIMEOUT_MILLISECONDS), ...(body ? { 'content-type': 'application/json' } : {}) }
    try {
      const response = await this._pool(node).request({ method, path: this._fleet.jobPath(id), headers, body: body ? JSON.stringify(body) : null, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS) })
      const document = await response.body.json() as { state?: string }
      this._fleet.ledger.countResponse(method, response.statusCode)
      return { status: response.statusCode, state: document.state ?? '' }
    } catch (error) {
      this._fleet.ledger.countResponse(method, 0)
      this._checkBrokenConnection(node, method, id, sentAt, error as NodeJS.ErrnoException)
      return { status: 0, state: '' }
    }
  }

  /** Records a finding if a connection broke without a fault: even a planned shutdown must not break a request that the process has read. */
  private _checkBrokenConnection (node: NodeProcess, method: string, id: string, sentAt: number, error: NodeJS.ErrnoException): void {
    const elapsed = this._fleet.clock.now() - sentAt
    const isConnectionBroken = error.code === 'UND_ERR_SOCKET' || error.code === 'ECONNRESET'
    if (!isConnectionBroken || elapsed < REQUEST_READ_MILLISECONDS || !this._fleet.faultIntervals.isFaultFree(sentAt, this._fleet.clock.now())) return
    this._fleet.ledger.findings.push(`${method} ${id} at ${node.configuration.name}: connection broken after ${Math.round(elapsed)} ms without a fault (${error.message})`)
  }

  private _pool (node: NodeProcess): Pool {
    const pool = this._pools.get(node) ?? new Pool(node.origin, { connections: 1, keepAliveTimeout: 60_000 })
    this._pools.set(node, pool)
    return pool
  }
}
