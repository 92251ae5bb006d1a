/**
 * Empties workers that are leaving or whose VM is needed otherwise.
 */
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { FleetWorker } from '../scheduling/fleet-worker.js'
import type { WorkerTable } from '../scheduling/worker-table.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/** Time between two looks, in milliseconds. */
const INTERVAL_MILLISECONDS = 60

/** Age of a report up to which a task counts as at work, in milliseconds. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500

/** Time after which ordinary tasks on a closing worker are stopped, in milliseconds; most end by themselves before. */
const PATIENCE_MILLISECONDS = 3_500

/** Moves lasting tasks one at a time within their steps' disruption budgets; ordinary tasks are left to end. */
export class EvacuationTask extends Task {
  override readonly name = 'vacating'
  private readonly _closingSince = new Map<FleetWorker, number>()

  constructor (private readonly _schedule: FleetSchedule, private readonly _roster: WorkerTable, private readonly _clock: Clock) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      for (const worker of this._roster.all) this._vacate(worker, now)
      await this._clock.sleepUntil(now + INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _vacate (worker: FleetWorker, now: number): void {
    if (!worker.isCordoned && !worker.entry.isDraining) {
      this._closingSince.delete(worker)
      return
    }
    const since = this._closingSince.get(worker) ?? now
    this._closingSince.set(worker, since)
    for (const task of worker.tasks) {
      if (task.isStopOrdered || task.runState !== 'running') continue
      if (task.step.definition.isLasting) this._relocate(task, worker, now)
      else if (worker.isCordoned && now > since + PATIENCE_MILLISECONDS) this._schedule.stop(task)
    }
  }

  private _relocate (task: ScheduledTask, worker: FleetWorker, now: number): void {
    if (!this._hasPlaceElsewhere(task, worker, now)) return
    // A worker that drains ends its tasks anyway; on a closing one the budget decides.
    if (!worker.entry.isDraining && task.isFullyRunning && !this._isWithinBudget(task, now)) return
    this._schedule.stop(task)
  }

  private _isWithinBudget (task: ScheduledTask, now: number): boolean {
    const budget = Math.max(1, task.step.definition.disruptionBudget)
    const away = task.step.tasks.filter(other => other !== task && !this._isSurelyAtWork(other, now)).length
    return away < budget
  }

  private _isSurelyAtWork (task: ScheduledTask, now: number): boolean {
    return task.isFullyRunning && task.worker !== null && task.worker.lastReportAt > now - MAXIMUM_REPORT_AGE_MILLISECONDS
  }

  private _hasPlaceElsewhere (task: ScheduledTask, from: FleetWorker, now: number): boolean {
    const { maximumPerWorker, requiredLabel } = task.step.definition
    for (const worker of this._roster.all) {
      if (worker === from || worker.entry.pool !== from.entry.pool || !this._roster.isEligible(worker, now) || !worker.hasCapacityFor(task.reservation)) continue
      if (requiredLabel !== '' && !worker.entry.labels.includes(requiredLabel)) continue
      if (maximumPerWorker === 0 || task.step.tasks.filter(other => other.worker === worker).length < maximumPerWorker) return true
    }
    return false
  }
}
