/**
 * Handler of the `submit-tasks` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Maximum number of stored tasks, in all phases. */
const MAXIMUM_TASKS = 50_000

/** Maximum number of stored tasks that are done or cancelled; beyond this, the oldest are evicted. */
const MAXIMUM_FINISHED_TASKS = 10_000

/** Adds tasks. A task whose id the team has already submitted to the queue changes nothing. */
export class SubmitTasksHandler extends CommandHandler<'submit-tasks'> {
  override readonly kind = 'submit-tasks'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<TaskCommand, { kind: 'submit-tasks' }>, _context: FoldContext): Finding[] {
    const findings: Finding[] = []
    const queue = state.queues.get(command.queue)
    if (queue?.value.kind !== 'task') findings.push({ path: '$.queue', code: 'not-found', message: `there is no queue ${command.queue} of kind task` })
    if (command.team !== null && !state.teams.has(command.team)) findings.push({ path: '$.team', code: 'not-found', message: `team ${command.team} does not exist` })
    if (state.tasks.size + command.tasks.length > MAXIMUM_TASKS) findings.push({ path: '$.tasks', code: 'limit', message: `at most ${MAXIMUM_TASKS} tasks are kept` })
    command.tasks.forEach(({ id }, index) => {
      const existing = state.tasks.get(id)
      if (!existing || (existing.team === command.team && existing.queue === command.queue)) return
      findings.push({ path: `$.tasks[${index}].id`, code: 'duplicate', message: `task ${id} is another team's or queue's` })
    })
    return findings
  }

  override apply (state: FleetState, command: Extract<TaskCommand, { kind: 'submit-tasks' }>, context: FoldContext): void {
    for (const task of command.tasks) {
      if (state.tasks.has(task.id)) continue
      state.tasks.set(task.id, {
        ...task,
        queue: command.queue,
        team: command.team,
        submittedAt: context.time,
        phase: 'waiting',
        reason: '',
        worker: null,
        token: 0,
        leaseDeadline: 0,
        failedOn: [],
        isCancelling: false
      })
    }
    this._evictOldestFinished(state)
  }

  private _evictOldestFinished (state: FleetState): void {
    if (state.tasks.size <= MAXIMUM_FINISHED_TASKS) return
    const finished = [...state.tasks.values()].filter(({ phase }) => phase === 'done' || phase === 'cancelled')
    for (const { id } of finished.slice(0, Math.max(0, finished.length - MAXIMUM_FINISHED_TASKS))) state.tasks.delete(id)
  }
}
