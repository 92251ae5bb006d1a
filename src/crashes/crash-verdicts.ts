/**
 * The verdicts on tasks under which workers have crashed.
 */
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { Clock } from '../supervision/clock.js'
import type { CrashAttributionPolicy } from './crash-attribution-policy.js'
import type { WithdrawnCrash } from './withdrawn-crash.js'

/** Time after the last crash of a task before it is given up, in milliseconds: ends of other workers that are seen meanwhile may excuse it. */
const VERDICT_DELAY_MILLISECONDS = 1_000

/** The same after the start of a term, whose owner hasn't seen what ended before. */
const FIRST_VERDICT_MILLISECONDS = 1_500

/** Least time between two looks at the crashes, in milliseconds. */
const INTERVAL_MILLISECONDS = 100

/** Withdraws crashes that turn out not to count, and gives up the tasks whose crashes do, once no further ends are expected to excuse them. */
export class CrashVerdicts {
  private readonly _firstAt: number
  private _nextAt = 0

  constructor (private readonly _attribution: CrashAttributionPolicy, private readonly _schedule: FleetSchedule, private readonly _jobs: ScheduledJobTable, clock: Clock, private readonly _log: DecisionLog) {
    this._firstAt = clock.now() + FIRST_VERDICT_MILLISECONDS
  }

  /** @param now epoch milliseconds. */
  settle (now: number): void {
    if (now < this._nextAt) return
    this._nextAt = now + INTERVAL_MILLISECONDS
    for (const crash of this._attribution.reconsider()) this._withdraw(crash)
    if (now < this._firstAt) return
    for (const job of [...this._jobs.active]) {
      for (const step of job.steps) {
        if (!step.hasCrashes) continue
        for (const task of step.tasks) if (task.crashes.isExhausted && task.lastCrashAt + VERDICT_DELAY_MILLISECONDS <= now) this._giveUp(task)
      }
    }
  }

  private _withdraw ({ task: { principal: task }, run, cause }: WithdrawnCrash): void {
    if (task.phase === 'done' || task.phase === 'failed' || task.step.job.isFinished || !task.crashes.withdraw(run, cause)) return
    this._log.emit('crash under run withdrawn', { task: task.name, run, cause, crashes: task.crashes.count, weight: Math.round(task.crashes.weight) })
    this._schedule.writeProgress(task)
    this._schedule.markChanged()
    this._jobs.updateUnprovenCrashes(task)
  }

  private _giveUp (task: ScheduledTask): void {
    if (task.phase !== 'waiting' || task.step.job.isFinished) return
    this._log.emit('task given up', { task: task.name, weight: Math.round(task.crashes.weight), crashes: task.crashes.summary })
    this._schedule.giveUp(task)
  }
}
