/**
 * Handler of the `cancel-tasks` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Cancels waiting and parked tasks at once. A running task is marked, and is cancelled once its worker has stopped it. Unknown ids are ignored. */
export class CancelTasksHandler extends CommandHandler<'cancel-tasks'> {
  override readonly kind = 'cancel-tasks'
  override readonly isOperatorChange = false

  override check (_state: FleetState, _command: Extract<TaskCommand, { kind: 'cancel-tasks' }>, _context: FoldContext): Finding[] {
    return []
  }

  override apply (state: FleetState, command: Extract<TaskCommand, { kind: 'cancel-tasks' }>, _context: FoldContext): void {
    for (const id of command.ids) {
      const task = state.tasks.get(id)
      if (!task || task.team !== command.team || task.queue !== command.queue) continue
      if (task.phase === 'waiting' || task.phase === 'parked') state.tasks.set(id, { ...task, phase: 'cancelled' })
      if (task.phase === 'running') state.tasks.set(id, { ...task, isCancelling: true })
    }
  }
}
