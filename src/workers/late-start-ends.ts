/**
 * The ends of starts without a response that may be carried out late.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { Observability } from '../observability/observability.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { WorkerEnds } from './worker-ends.js'
import type { WorkerTable } from './worker-table.js'

/** What shows that a late start is over for all incarnations under the ID of its worker; `not needed` if its task doesn't start any more. `not placed` shows nothing: the worker responds, and refuses the start in its present incarnation, but the task waits for it in vain. */
type Cause = 'not needed' | 'worker replaced' | 'too old, worker reported' | 'too old, worker ended' | 'too old, lease expired' | 'not placed'

/** Lets tasks start anywhere again once the starts of their earlier runs can't be carried out by any incarnation any more. */
export class LateStartEnds {
  constructor (private readonly _workers: WorkerTable, private readonly _ends: WorkerEnds, private readonly _fleetTime: FleetTime, private readonly _observability: Observability) {}

  /** @param now epoch milliseconds. */
  check (now: number): void {
    for (const worker of [...this._workers.all]) if (worker.boundTasks.size > 0) this._checkWorker(worker, now)
  }

  private _checkWorker (worker: FleetWorker, now: number): void {
    for (const task of worker.boundTasks) {
      if (worker.isSilent || worker.lastReportAt === 0) worker.extendBinding(task, now)
      const cause = this._causeOfEnd(task, worker, now)
      if (!cause) continue
      worker.unbind(task)
      this._observability.metrics.count('runs.late_starts', 1, cause)
      this._observability.log.emit('late start over', { task: task.name, worker: worker.entry.id, cause })
    }
    // A listed worker is removed by its lease renewal.
    if (!worker.isListed && !worker.client) this._workers.removeIfIdle(worker)
  }

  private _causeOfEnd ({ lateStart, phase, step, bindingDeadline }: ScheduledTask, worker: FleetWorker, now: number): Cause | null {
    if (!lateStart || phase === 'done' || phase === 'failed' || step.job.isFinished) return 'not needed'
    if (worker.isReplaced || this._ends.isReplaced(worker)) return 'worker replaced'
    const until = this._fleetTime.toLocal(lateStart.until)
    // Only tasks that last count as lost meanwhile.
    if (now < until) return phase === 'waiting' && step.definition.isLasting && worker.reportRequestedAt >= bindingDeadline ? 'not placed' : null
    if (worker.reportRequestedAt >= until && !worker.hasOrphanedRuns && worker.unreadableRows === 0) return 'too old, worker reported'
    if (this._ends.endOf(worker, until) !== null) return 'too old, worker ended'
    return now >= worker.longestLeaseExpiresAt(until) ? 'too old, lease expired' : null
  }
}
