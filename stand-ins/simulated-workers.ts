/**
 * Simulated workers of the platform. For development and tests only.
 */
import { TaskSize } from '../src/schemas/task-size.js'
import type { WorkerUsageReport } from '../src/schemas/worker-usage-report.js'
import type { Clock } from '../src/supervision/clock.js'
import * as z from 'zod'

/** How a simulated run behaves, parsed from the payload of its task. */
const RunScript = z.object({
  /** Duration of the run, in milliseconds. */
  runMilliseconds: z.number().default(1_000),
  /** Whether the run fails on every worker. */
  alwaysFails: z.boolean().default(false),
  /** Resources that the run reports as used. */
  usage: TaskSize.default({ processors: 1, memoryMegabytes: 1, accelerators: 0 })
})

/** A run on a simulated worker. */
interface SimulatedRun {
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

/** Simulates runs that last a set time, end at their lease deadline, and are reported with a delay. */
export class SimulatedWorkers {
  /** Workers on which every run fails. */
  readonly failingWorkers = new Set<string>()
  /** Age of the reports, in milliseconds. */
  reportLagMilliseconds = 0
  /** All runs that have started, by worker. */
  readonly runs = new Map<string, SimulatedRun[]>()
  private readonly _newestTokens = new Map<string, number>()

  constructor (private readonly _clock: Clock) {}

  /** Starts a run, unless its lease has expired or its worker has already seen this token or a higher one for the task. */
  start (worker: string, { task, token, leaseDeadline, payload }: StartOrder): void {
    const key = `${worker}/${task}`
    const now = this._clock.now()
    if ((this._newestTokens.get(key) ?? 0) >= token || now >= leaseDeadline) return
    this._newestTokens.set(key, token)
    const script = RunScript.parse(payload === '' ? {} : JSON.parse(payload))
    const fails = script.alwaysFails || this.failingWorkers.has(worker)
    const run: SimulatedRun = { task, token, startedAt: now, state: 'running', endedAt: 0, usage: script.usage }
    this.runs.set(worker, [...(this.runs.get(worker) ?? []), run])
    const endsAt = now + (fails ? 50 : script.runMilliseconds)
    void this._finishAt(run, Math.min(endsAt, leaseDeadline), endsAt > leaseDeadline ? 'stopped' : fails ? 'failed' : 'done')
  }

  /** Stops a run, if it is still running; checkpoints are not simulated. */
  stop (worker: string, task: string, token: number): void {
    const run = this.runs.get(worker)?.find(candidate => candidate.task === task && candidate.token === token)
    if (run) this._finish(run, 'stopped')
  }

  /** Reports the runs of all workers as they were `reportLagMilliseconds` ago. */
  reports (): WorkerUsageReport[] {
    const asOf = this._clock.now() - this.reportLagMilliseconds
    return [...this.runs].map(([worker, runs]) => ({
      worker,
      asOf,
      runs: runs.filter(run => run.startedAt <= asOf).map(run => ({
        task: run.task, token: run.token, state: run.state === 'running' || run.endedAt > asOf ? 'running' as const : run.state, usage: run.usage
      }))
    }))
  }

  /** Tasks that had two runs at the same time; there must be none. */
  overlappingTasks (): string[] {
    const byTask = new Map<string, SimulatedRun[]>()
    for (const runs of this.runs.values()) for (const run of runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run])
    return [...byTask].filter(([, runs]) => runs.some(earlier => runs.some(later =>
      earlier !== later && earlier.startedAt < (later.endedAt || Infinity) && later.startedAt < (earlier.endedAt || Infinity) && earlier.startedAt <= later.startedAt))).map(([task]) => task)
  }

  private async _finishAt (run: SimulatedRun, at: number, state: 'done' | 'failed' | 'stopped'): Promise<void> {
    await this._clock.sleepUntil(at)
    this._finish(run, state)
  }

  private _finish (run: SimulatedRun, state: SimulatedRun['state']): void {
    if (run.state !== 'running') return
    run.state = state
    run.endedAt = this._clock.now()
  }
}
