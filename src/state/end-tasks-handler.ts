/**
 * Handler of the `end-tasks` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/** Number of distinct workers on which a task must fail to be parked. */
const FAILED_WORKERS_TO_PARK = 3

/** Number of tasks that must fail on a worker and later succeed elsewhere for the worker to be quarantined. */
const PROVED_FAILURES_TO_QUARANTINE = 3

/** Largest fraction of the workers that is quarantined automatically; one worker is always allowed. */
const MAXIMUM_QUARANTINED_FRACTION = 0.1

/**
 * Records run completions. The token identifies the run, so a late completion of an earlier
 * run changes nothing.
 *
 * A single failure doesn't show whether the task or the worker is at fault. A task that fails
 * on three workers is parked. A failure counts against a worker only once the task has
 * succeeded elsewhere, so that faulty tasks never put healthy workers in quarantine.
 */
export class EndTasksHandler extends CommandHandler<'end-tasks'> {
  override readonly kind = 'end-tasks'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<TaskCommand, { kind: 'end-tasks' }>, _context: FoldContext): Finding[] {
    return leaseFindings(state, command.proof)
  }

  override apply (state: FleetState, command: Extract<TaskCommand, { kind: 'end-tasks' }>, _context: FoldContext): void {
    for (const { task: id, token, result } of command.ends) {
      const task = state.tasks.get(id)
      if (task?.phase !== 'running' || task.token !== token) continue
      state.adjustRunningTasks(task.team, -1)
      const unassigned: FleetTask = { ...task, worker: null, leaseDeadline: 0 }
      if (result === 'done') this._complete(state, unassigned)
      else if (task.isCancelling) state.tasks.set(id, { ...unassigned, phase: 'cancelled' })
      else if (result === 'failed') this._fail(state, unassigned, task.worker)
      else state.tasks.set(id, { ...unassigned, phase: 'waiting' })
    }
  }

  private _complete (state: FleetState, task: FleetTask): void {
    state.tasks.set(task.id, { ...task, phase: 'done' })
    for (const id of task.failedOn) this._recordProvedFailure(state, id, task.id)
  }

  private _fail (state: FleetState, task: FleetTask, worker: string | null): void {
    const failedOn = worker === null || task.failedOn.includes(worker) ? task.failedOn : [...task.failedOn, worker]
    const isParked = failedOn.length >= FAILED_WORKERS_TO_PARK
    const reason = isParked ? `failed on ${failedOn.join(', ')}` : ''
    state.tasks.set(task.id, { ...task, failedOn, phase: isParked ? 'parked' : 'waiting', reason })
  }

  private _recordProvedFailure (state: FleetState, id: string, task: string): void {
    const worker = state.workers.get(id)
    if (!worker || worker.isQuarantined) return
    const provedFailures = [...worker.provedFailures, task].slice(-PROVED_FAILURES_TO_QUARANTINE)
    const quarantinedCount = [...state.workers.values()].filter(other => other.isQuarantined).length
    const isAllowed = quarantinedCount + 1 <= Math.max(1, state.workers.size * MAXIMUM_QUARANTINED_FRACTION)
    const isQuarantined = provedFailures.length >= PROVED_FAILURES_TO_QUARANTINE && isAllowed
    state.workers.set(id, { ...worker, provedFailures, isQuarantined })
  }
}
