/**
 * Handler of the `park-tasks` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/** Parks waiting tasks that can never run, with the reason. */
export class ParkTasksHandler extends CommandHandler<'park-tasks'> {
  override readonly kind = 'park-tasks'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<TaskCommand, { kind: 'park-tasks' }>, _context: FoldContext): Finding[] {
    return leaseFindings(state, command.proof)
  }

  override apply (state: FleetState, command: Extract<TaskCommand, { kind: 'park-tasks' }>, _context: FoldContext): void {
    for (const id of command.ids) {
      const task = state.tasks.get(id)
      if (task?.phase === 'waiting') state.tasks.set(id, { ...task, phase: 'parked', reason: command.reason })
    }
  }
}
