/**
 * Decides `submit-tasks`.
 */
import type { Finding } from '../schemas/finding.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Most tasks kept in all. */
const MAXIMUM_TASKS = 50_000

/** Ended tasks beyond which the oldest are forgotten. */
const MAXIMUM_ENDED_TASKS = 10_000

/** Adds tasks; one whose id its team has submitted to the queue before changes nothing. */
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
      const present = state.tasks.get(id)
      if (!present || (present.team === command.team && present.queue === command.queue)) return
      findings.push({ path: `$.tasks[${index}].id`, code: 'duplicate', message: `task ${id} is another team's or queue's` })
    })
    return findings
  }

  override apply (state: FleetState, command: Extract<TaskCommand, { kind: 'submit-tasks' }>, context: FoldContext): void {
    for (const task of command.tasks) {
      if (state.tasks.has(task.id)) continue
      state.tasks.set(task.id, {
        ...task, queue: command.queue, team: command.team, submittedAt: context.time, phase: 'waiting', reason: '', worker: null, token: 0, leaseDeadline: 0, failedOn: [], isCancelling: false
      })
    }
    this._forgetOldest(state)
  }

  private _forgetOldest (state: FleetState): void {
    if (state.tasks.size <= MAXIMUM_ENDED_TASKS) return
    const ended = [...state.tasks.values()].filter(({ phase }) => phase === 'done' || phase === 'cancelled')
    for (const { id } of ended.slice(0, Math.max(0, ended.length - MAXIMUM_ENDED_TASKS))) state.tasks.delete(id)
  }
}
