/**
 * Moves tasks off workers that are shutting down or cordoned.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { WorkerTable } from '../workers/worker-table.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import { StepAvailability } from './step-availability.js'

/** Time between two checks of all workers, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 60

/** Time after which ordinary tasks on a cordoned worker are stopped, in milliseconds; most complete before. */
const CORDON_GRACE_PERIOD_MILLISECONDS = 3_500

/**
 * Stops lasting tasks that fit on another worker, on cordoned workers only within their steps' disruption budgets.
 * Ordinary tasks may complete, on cordoned workers only within a grace period.
 */
export class EvacuationTask extends Task {
  override readonly name = 'vacating'
  /** Epoch milliseconds since which each worker is being evacuated. */
  private readonly _evacuatingSince = new Map<FleetWorker, number>()

  /** @param _maximumStopMilliseconds longest time that a worker takes to stop a run. */
  constructor (private readonly _schedule: FleetSchedule, private readonly _workers: WorkerTable, private readonly _maximumStopMilliseconds: number, private readonly _clock: Clock, private readonly _log: DecisionLog) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      for (const worker of this._workers.all) this._evacuate(worker, now)
      await this._clock.sleepUntil(now + POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _evacuate (worker: FleetWorker, now: number): void {
    if (!worker.isCordoned && !worker.entry.isDraining) {
      this._evacuatingSince.delete(worker)
      return
    }
    const since = this._evacuatingSince.get(worker) ?? now
    this._evacuatingSince.set(worker, since)
    for (const task of worker.tasks) {
      if (task.isStopOrdered || task.runState !== 'running') continue
      if (task.step.definition.isLasting) this._relocate(task, worker, now)
      else if (worker.isCordoned && now > since + CORDON_GRACE_PERIOD_MILLISECONDS) this._schedule.stop(task)
    }
  }

  private _relocate (task: ScheduledTask, worker: FleetWorker, now: number): void {
    if (!this._fitsElsewhere(task, worker, now)) return
    const { budget, away, reportAgeMilliseconds, permitsStop } = new StepAvailability(task, this._maximumStopMilliseconds, now)
    // A draining worker stops its tasks anyway; on a cordoned one the disruption budget applies, also to a run that may be at work since its worker's last report.
    if (!worker.entry.isDraining && !permitsStop) return
    this._log.emit('lasting task relocated', { task: task.name, run: task.run, worker: worker.entry.id, isDraining: worker.entry.isDraining, budget, away, reportAgeMilliseconds })
    this._schedule.stop(task)
  }

  private _fitsElsewhere (task: ScheduledTask, from: FleetWorker, now: number): boolean {
    const { maximumPerWorker, requiredLabel } = task.step.definition
    for (const worker of this._workers.all) {
      if (worker === from || worker.entry.pool !== from.entry.pool || !this._workers.isEligible(worker, now) || worker.health.state !== 'trusted' || worker.blocksStartOf(task) || !worker.hasCapacityFor(task.reservation)) continue
      if (requiredLabel !== '' && !worker.entry.labels.includes(requiredLabel)) continue
      if (maximumPerWorker === 0 || task.step.tasks.filter(other => other.worker === worker).length < maximumPerWorker) return true
    }
    return false
  }
}
