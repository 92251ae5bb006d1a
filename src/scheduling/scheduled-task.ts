/**
 * A task as the owner drives it.
 */
import type { Resources } from '../jobs/resources.js'
import type { TaskProgress } from '../jobs/task-progress.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledStep } from './scheduled-step.js'

/**
 * What is known of a placed run: `inherited`: from an earlier term, not yet confirmed by its worker; `intended`: being
 * written to the journal; `starting`: the order is on its way; `running`: the worker took it; `settling`: the order's
 * outcome is unknown and the run is being stopped; `stopping`: ordered to end.
 */
type RunState = 'inherited' | 'intended' | 'starting' | 'running' | 'settling' | 'stopping'

/** One task of a step. Its rows go to the journal with its step. */
export class ScheduledTask {
  phase: TaskProgress['phase']
  run: number
  failedRuns: readonly number[]
  checkpoint: string
  /** Worker that holds the task's room, or null; an unlisted worker keeps its tasks until its lease has lapsed. */
  worker: FleetWorker | null = null
  /** Worker and incarnation as the journal has them. */
  workerId: string
  incarnation: number
  runState: RunState = 'inherited'
  /** Moment (epoch milliseconds) after which a report that lacks the run proves that it isn't there; Infinity while unknown. */
  confirmedAt = Infinity
  /** Percent last reported. */
  percent = 0
  /** Load last reported. */
  load = 0
  /** Share of its speed that it has been told to work at, in percent. */
  pace = 100
  /** Whether an order to stop it is under way. */
  isStopOrdered = false

  constructor (readonly step: ScheduledStep, readonly index: number, progress: TaskProgress | null) {
    this.phase = progress?.phase ?? 'waiting'
    this.run = progress?.run ?? 0
    this.failedRuns = progress?.failedRuns ?? []
    this.checkpoint = progress?.checkpoint ?? ''
    this.workerId = progress?.worker ?? ''
    this.incarnation = progress?.incarnation ?? 0
  }

  /** Name that workers know the task by. */
  get name (): string {
    return `${this.step.name}.${this.index}`
  }

  /** Room that the task takes on a worker. Fillers take no processors of their own. */
  get reservation (): Resources {
    const { demand, isFiller } = this.step.definition
    return isFiller ? { ...demand, millicores: 0 } : demand
  }

  /** Whether the task is fully at work. */
  get isFullyRunning (): boolean {
    return this.phase === 'placed' && this.runState === 'running' && this.percent >= 100
  }

  /** Counts a run that failed, once. */
  noteFailure (run: number): void {
    if (!this.failedRuns.includes(run)) this.failedRuns = [...this.failedRuns, run]
  }

  /** The row for the journal. */
  get progress (): TaskProgress {
    const isPlaced = this.phase === 'placed'
    return {
      phase: this.phase,
      run: this.run,
      failedRuns: [...this.failedRuns],
      worker: isPlaced ? this.workerId : '',
      incarnation: isPlaced ? this.incarnation : 0,
      checkpoint: this.phase === 'done' ? '' : this.checkpoint
    }
  }
}
