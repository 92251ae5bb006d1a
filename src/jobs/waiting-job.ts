/**
 * The unplaced work of one accepted job.
 */
import type { JobQueue } from '../configuration/job-queue.js'
import { JobAllowance } from './job-allowance.js'
import type { JobSubmission } from './job-submission.js'
import type { JobView } from './job-view.js'
import { longestPaths } from './longest-paths.js'
import type { StepDefinition } from './step-definition.js'
import type { TakenWork } from './taken-work.js'
import type { WaitingAmounts } from './waiting-amounts.js'

/** Counts the tasks of each step that wait for a worker. */
export class WaitingJob implements WaitingAmounts {
  readonly team: string
  readonly priority: number
  private readonly _steps: readonly StepDefinition[]
  private readonly _paths: readonly number[]
  private readonly _waitingTasks: number[]
  private _usefulUntil: number
  private _unplacedWork = 0
  private _startableWork = 0
  private _latestOnTimeStartAt = Infinity
  private _latestUsefulStartAt = Infinity
  private readonly _submittedAt: number
  /** Null if the queue has no target. */
  private readonly _allowance: JobAllowance | null

  /**
   * @param queue the queue as it was when the job was accepted.
   * @param readAt epoch milliseconds at which the submission was read.
   */
  constructor ({ team, submittedAt, steps }: JobSubmission, queue: JobQueue, readAt: number) {
    this.team = team
    this.priority = queue.priority
    this._submittedAt = submittedAt
    this._steps = steps
    this._paths = longestPaths(steps)
    this._allowance = JobAllowance.hasTarget(queue) ? new JobAllowance(queue, Math.max(...this._paths)) : null
    this._usefulUntil = readAt + (this._allowance?.usefulMilliseconds ?? Infinity)
    this._waitingTasks = steps.map(({ count }) => count)
    this._sumUp(null)
  }

  /** Epoch milliseconds until which the job is known to be of use, on this process's clock; -Infinity once it has expired. */
  get usefulUntil (): number {
    return this._usefulUntil
  }

  get unplacedWork (): number {
    return this._unplacedWork
  }

  get startableWork (): number {
    return this._startableWork
  }

  /** Fleet time until which the steps with waiting tasks have to start for the job to be on time, and for it to be of use; Infinity if the queue has no target. */
  get latestOnTimeStartAt (): number {
    return this._latestOnTimeStartAt
  }

  get latestUsefulStartAt (): number {
    return this._latestUsefulStartAt
  }

  /** Estimated work of one task of a step, in millicores times milliseconds. Fillers use no processor time that others could use. */
  static workPerTask ({ demand, estimateMilliseconds, isFiller }: StepDefinition): number {
    return isFiller ? 0 : demand.millicores * estimateMilliseconds
  }

  /** Counts nothing of the job as waiting any more; what is taken up of it still counts. */
  expire (): void {
    this._usefulUntil = -Infinity
    this._unplacedWork = 0
    this._startableWork = 0
  }

  /** Applies the progress of a step, or of all steps if it is null. Returns what has been placed or completed. */
  update (view: JobView, step: number | null): TakenWork {
    let tasks = 0
    let work = 0
    for (const [index, definition] of this._steps.entries()) {
      if (step !== null && index !== step) continue
      const before = this._waitingTasks[index] ?? 0
      const now = this._countWaiting(view, index, definition)
      this._waitingTasks[index] = now
      if (now >= before) continue
      tasks += before - now
      work += (before - now) * WaitingJob.workPerTask(definition)
    }
    this._sumUp(view)
    return { tasks, work }
  }

  private _countWaiting (view: JobView, index: number, { count }: StepDefinition): number {
    if (view.isStepDone(0, index)) return 0
    const progress = view.taskProgress(0, index)
    return progress ? progress.reduce((sum, { phase }) => phase === 'waiting' ? sum + 1 : sum, 0) : count
  }

  private _sumUp (view: JobView | null): void {
    this._unplacedWork = 0
    this._startableWork = 0
    if (this._usefulUntil === -Infinity) return
    let remainingPathMilliseconds = 0
    for (const [index, definition] of this._steps.entries()) {
      const waiting = this._waitingTasks[index] ?? 0
      if (waiting === 0) continue
      const work = waiting * WaitingJob.workPerTask(definition)
      this._unplacedWork += work
      if (definition.after.every(earlier => view?.isStepDone(0, earlier) ?? false)) this._startableWork += work
      remainingPathMilliseconds = Math.max(remainingPathMilliseconds, this._paths[index] ?? 0)
    }
    if (!this._allowance) return
    this._latestOnTimeStartAt = this._submittedAt + this._allowance.onTimeMilliseconds - remainingPathMilliseconds
    this._latestUsefulStartAt = this._submittedAt + this._allowance.usefulMilliseconds - remainingPathMilliseconds
  }
}
