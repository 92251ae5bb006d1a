/**
 * Workers of the platform's stand-in. For development and tests only.
 */
import { TaskSize } from '../src/schemas/task-size.js'
import type { WorkerUsageReport } from '../src/schemas/worker-usage-report.js'
import type { Clock } from '../src/supervision/clock.js'
import * as z from 'zod'

/** What a run does, read from its payload. */
const Script = z.object({
  /** How long it runs, in milliseconds. */
  runMilliseconds: z.number().default(1_000),
  /** Whether it fails wherever it runs. */
  alwaysFails: z.boolean().default(false),
  /** What it uses. */
  usage: TaskSize.default({ processors: 1, memoryMegabytes: 1, accelerators: 0 })
})

/** A run on a worker. */
interface Run {
  readonly task: string
  readonly token: number
  readonly startedAt: number
  state: 'running' | 'done' | 'failed' | 'stopped'
  endedAt: number
  readonly usage: TaskSize
}

/** An order to start a run. */
interface StartOrder {
  readonly task: string
  readonly token: number
  readonly leaseDeadline: number
  readonly payload: string
}

/** Runs tasks in time, under leases, and reports with a lag. */
export class PlayedWorkers {
  /** Workers that fail everything they start. */
  readonly bad = new Set<string>()
  /** Age of reports, in milliseconds. */
  lagMilliseconds = 0
  /** All runs that ever started, by worker. */
  readonly runs = new Map<string, Run[]>()
  private readonly _newest = new Map<string, number>()

  constructor (private readonly _clock: Clock) {}

  /** Starts a run: each token once, none older than the newest of its task here, none past its lease. */
  start (worker: string, { task, token, leaseDeadline, payload }: StartOrder): void {
    const key = `${worker}/${task}`
    const now = this._clock.now()
    if ((this._newest.get(key) ?? 0) >= token || now >= leaseDeadline) return
    this._newest.set(key, token)
    const script = Script.parse(payload === '' ? {} : JSON.parse(payload))
    const fails = script.alwaysFails || this.bad.has(worker)
    const run: Run = { task, token, startedAt: now, state: 'running', endedAt: 0, usage: script.usage }
    this.runs.set(worker, [...(this.runs.get(worker) ?? []), run])
    const endsAt = now + (fails ? 50 : script.runMilliseconds)
    void this._finish(run, Math.min(endsAt, leaseDeadline), endsAt > leaseDeadline ? 'stopped' : fails ? 'failed' : 'done')
  }

  /** Stops a run after its checkpoint. */
  stop (worker: string, task: string, token: number): void {
    const run = this.runs.get(worker)?.find(candidate => candidate.task === task && candidate.token === token)
    if (run) this._end(run, 'stopped')
  }

  /** The workers' runs as they were some time ago. */
  reports (): WorkerUsageReport[] {
    const asOf = this._clock.now() - this.lagMilliseconds
    return [...this.runs].map(([worker, runs]) => ({
      worker,
      asOf,
      runs: runs.filter(run => run.startedAt <= asOf).map(run => ({
        task: run.task, token: run.token, state: run.state === 'running' || run.endedAt > asOf ? 'running' as const : run.state, usage: run.usage
      }))
    }))
  }

  /** Runs of one task that overlapped in time: there must be none. */
  overlaps (): string[] {
    const byTask = new Map<string, Run[]>()
    for (const runs of this.runs.values()) for (const run of runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run])
    return [...byTask].filter(([, runs]) => runs.some(left => runs.some(right =>
      left !== right && left.startedAt < (right.endedAt || Infinity) && right.startedAt < (left.endedAt || Infinity) && left.startedAt <= right.startedAt))).map(([task]) => task)
  }

  private async _finish (run: Run, at: number, state: 'done' | 'failed' | 'stopped'): Promise<void> {
    await this._clock.sleepUntil(at)
    this._end(run, state)
  }

  private _end (run: Run, state: Run['state']): void {
    if (run.state !== 'running') return
    run.state = state
    run.endedAt = this._clock.now()
  }
}
