/**
 * Decides `end-tasks`.
 */
import type { Finding } from '../schemas/finding.js'
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/** Distinct workers on which a task fails before it is parked. */
const FAILURES_TO_PARK = 3

/** Tasks that failed on a worker and ran well elsewhere before it is quarantined. */
const PROVED_FAILURES_TO_QUARANTINE = 3

/** Largest part of the workers that is quarantined without an operator. */
const MAXIMUM_QUARANTINED_PART = 0.1

/**
 * Ends runs by their tokens; the end of an earlier run changes nothing.
 *
 * A failure alone says nothing about whether the task or the worker is bad. A task that
 * fails on three workers is parked. A worker is held to account only for tasks that ran
 * well elsewhere afterwards, so that bad tasks never cost good workers.
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
      state.countRunningTask(task.team, -1)
      const ended: FleetTask = { ...task, worker: null, leaseDeadline: 0 }
      if (result === 'done') this._finish(state, ended)
      else if (task.isCancelling) state.tasks.set(id, { ...ended, phase: 'cancelled' })
      else if (result === 'failed') this._fail(state, ended, task.worker)
      else state.tasks.set(id, { ...ended, phase: 'waiting' })
    }
  }

  private _finish (state: FleetState, task: FleetTask): void {
    state.tasks.set(task.id, { ...task, phase: 'done' })
    for (const id of task.failedOn) this._hold(state, id, task.id)
  }

  private _fail (state: FleetState, task: FleetTask, worker: string | null): void {
    const failedOn = worker === null || task.failedOn.includes(worker) ? task.failedOn : [...task.failedOn, worker]
    const isParked = failedOn.length >= FAILURES_TO_PARK
    const reason = isParked ? `failed on ${failedOn.join(', ')}` : ''
    state.tasks.set(task.id, { ...task, failedOn, phase: isParked ? 'parked' : 'waiting', reason })
  }

  private _hold (state: FleetState, id: string, task: string): void {
    const worker = state.workers.get(id)
    if (!worker || worker.isQuarantined) return
    const provedFailures = [...worker.provedFailures, task].slice(-PROVED_FAILURES_TO_QUARANTINE)
    const quarantined = [...state.workers.values()].filter(other => other.isQuarantined).length
    const isAllowed = quarantined + 1 <= Math.max(1, state.workers.size * MAXIMUM_QUARANTINED_PART)
    const isQuarantined = provedFailures.length >= PROVED_FAILURES_TO_QUARANTINE && isAllowed
    state.workers.set(id, { ...worker, provedFailures, isQuarantined })
  }
}
