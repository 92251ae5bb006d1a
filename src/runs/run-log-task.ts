/**
 * Log lines of placements and of run completions.
 */
import { LineBatches } from '../observability/line-batches.js'
import type { Observability } from '../observability/observability.js'
import type { RankedStep } from '../placement/ranked-step.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import { Task } from '../supervision/task.js'
import type { WorkerReport } from '../workers/worker-report.js'

/** What is logged of a step. */
type PlacedStep = Pick<RankedStep, 'name' | 'pool' | 'requestedAt' | 'latestStartAt'> & { readonly queue: Pick<RankedStep['queue'], 'name'> }

/** Lines per second of each kind that aren't full. With the full ones of 400 placements per second, they stay below what `LogLineBudget` keeps for them. */
const PLACEMENT_LINES_PER_SECOND = 60
const COMPLETION_LINES_PER_SECOND = 40

/** Time after which completions are logged without a placement round, such as during a takeover, in milliseconds. */
const WRITE_INTERVAL_MILLISECONDS = 200

/** Collects the placements and completions of a round, which are written together; under load, those of several rounds. Writes the rest when the owner stops. */
export class RunLogTask extends Task {
  override readonly name = 'run-log'
  private readonly _placements: LineBatches
  private readonly _completions: LineBatches

  constructor (private readonly _observability: Observability) {
    super()
    const { clock, log } = _observability
    this._placements = new LineBatches('runs placed', 'steps', PLACEMENT_LINES_PER_SECOND, clock, log)
    this._completions = new LineBatches('runs completed', 'workers', COMPLETION_LINES_PER_SECOND, clock, log)
  }

  override async run (signal: AbortSignal): Promise<void> {
    const { clock } = this._observability
    while (!signal.aborted) {
      this.write()
      await clock.sleepUntil(clock.now() + WRITE_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
    this._completions.writeAll()
    this._placements.writeAll()
  }

  /**
   * Records placements of a step: how long the job has waited, its slack, and the worker of each run.
   *
   * @param position of the step in the order of its pool, from 1.
   * @param configuration version in force.
   */
  placed ({ name, queue, pool, requestedAt, latestStartAt }: PlacedStep, position: number, tasks: readonly Pick<ScheduledTask, 'index' | 'run' | 'workerId'>[], configuration: number, now: number): void {
    const heading = `${name} ${queue.name}-${position} waited ${Math.round(now - requestedAt)} slack ${Math.round(latestStartAt - now)}:`
    this._placements.add({ pool, configuration }, heading, tasks.map(({ index, run, workerId }) => `${index}/${run} ${workerId}`))
  }

  /** Records run completions that a worker has reported. */
  completed (worker: string, completions: WorkerReport['ended']): void {
    this._completions.add({}, `${worker}:`, completions.map(({ task, run, result }) => `${task}/${run} ${result}`))
  }

  /** Writes the lines of what has been recorded, completions first, because they make room for the placements. */
  write (): void {
    this._completions.write()
    this._placements.write()
  }
}
