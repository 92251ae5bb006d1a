/**
 * Handler of the `place-tasks` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/**
 * Starts runs of tasks. Each placement is checked individually, because the state may have
 * changed since the placements were planned: the task must be waiting, the worker must not be
 * quarantined or in a zone out of service, and the team must be below its upper limit.
 */
export class PlaceTasksHandler extends CommandHandler<'place-tasks'> {
  override readonly kind = 'place-tasks'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<TaskCommand, { kind: 'place-tasks' }>, _context: FoldContext): Finding[] {
    return leaseFindings(state, command.proof)
  }

  override apply (state: FleetState, command: Extract<TaskCommand, { kind: 'place-tasks' }>, context: FoldContext): void {
    for (const { task: id, worker: workerId, leaseDeadline } of command.placements) {
      const task = state.tasks.get(id)
      const worker = state.workers.get(workerId)
      if (task?.phase !== 'waiting' || !worker || worker.isQuarantined || state.isZoneOut(worker.value.availabilityZone)) continue
      if (task.team !== null && state.grantedUnits(task.team) >= state.upperLimit(task.team)) continue
      state.tasks.set(id, { ...task, phase: 'running', worker: workerId, token: context.offset, leaseDeadline })
      state.adjustRunningTasks(task.team, 1)
    }
  }
}
