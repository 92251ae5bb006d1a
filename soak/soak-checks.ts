/**
 * Checks at the end of a soak run.
 */
import type { Clock } from '../src/supervision/clock.js'
import { disruptionBudgetViolations } from '../stand-ins/emulator/disruption-budget-violations.js'
import { runViolations } from '../stand-ins/emulator/run-violations.js'
import type { CallerTask } from './caller-task.js'
import type { JobEntry } from './job-entry.js'
import type { SoakFleet } from './soak-fleet.js'

/** Time after the last fault within which all accepted jobs must finish: leases expire first, and queued tasks have to run. */
const COMPLETION_BOUND_MILLISECONDS = 60_000

/** The platform's upper bound on the time from a cancellation until no task of the job starts. */
const CANCELLATION_BOUND_MILLISECONDS = 3_000

/** Starts after its third crash with which a task breaks the platform's rule. */
const MAXIMUM_STARTS_AFTER_THIRD_CRASH = 3

/** Number of tasks of a lasting step that may be away at a time by the system's own actions, as the callers' jobs state it. */
const DISRUPTION_BUDGET = 1

/** The platform's time after which a task that isn't at work counts as away. */
const NOTICE_MILLISECONDS = 4_500

/** Interval between two checks of a condition. */
const POLL_INTERVAL_MILLISECONDS = 500

/** Evaluates the callers' ledger, the runs recorded by workers and the exits of processes; it reads no internal state of the system. */
export class SoakChecks {
  constructor (private readonly _fleet: SoakFleet, private readonly _caller: CallerTask, private readonly _clock: Clock) {}

  /** Waits until all accepted jobs have finished, and returns the findings of the run. */
  async findings (): Promise<string[]> {
    const { ledger, emulator, nodes } = this._fleet
    const accepted = [...ledger.jobs.values()].filter(({ acceptedAt }) => acceptedAt < Infinity)
    const ordinary = accepted.filter(({ isLasting }) => !isLasting)
    const lasting = accepted.filter(({ isLasting, cancellationSentAt }) => isLasting && cancellationSentAt === Infinity)
    const unfinished = await this._unsatisfied(ordinary, async entry => {
      await this._caller.queryState(entry)
      return entry.state === (entry.isDeadly ? 'failed' : 'completed') || (entry.cancellationSentAt < Infinity && entry.state === 'cancelled')
    })
    const incomplete = await this._unsatisfied(lasting, async ({ tasks }) => tasks.every(task => emulator.workerIncarnations.some(({ running }) => running.includes(task))))
    return [
      ...ledger.findings,
      ...unfinished.map(({ id, state }) => `${id}: accepted, but ${state === '' ? 'in an unknown state' : state} ${COMPLETION_BOUND_MILLISECONDS} ms after the last fault`),
      ...incomplete.map(({ id }) => `${id}: a task of this lasting job isn't running`),
      ...runViolations(emulator.workerIncarnations),
      ...this._budgetViolations(),
      ...this._crashingTasks(),
      ...this._runsOfRefusedJobs(),
      ...this._startsAfterCancellation(),
      ...nodes.flatMap(({ unexpectedExits }) => unexpectedExits)
    ]
  }

  /** Polls until a condition has held for each entry, and returns the entries for which it didn't hold in time. */
  private async _unsatisfied (entries: readonly JobEntry[], isSatisfied: (entry: JobEntry) => Promise<boolean>): Promise<JobEntry[]> {
    const deadline = this._clock.now() + COMPLETION_BOUND_MILLISECONDS
    let pending = [...entries]
    while (pending.length > 0 && this._clock.now() < deadline) {
      const remaining: JobEntry[] = []
      for (const entry of pending) if (!await isSatisfied(entry)) remaining.push(entry)
      pending = remaining
      await this._clock.sleepUntil(this._clock.now() + POLL_INTERVAL_MILLISECONDS)
    }
    return pending
  }

  /** Finds lasting tasks that the system's own actions ended while too many others of their step were away. */
  private _budgetViolations (): string[] {
    const { ledger, emulator, faultIntervals } = this._fleet
    const steps = [...ledger.jobs.values()].filter(({ isLasting, acceptedAt }) => isLasting && acceptedAt < Infinity)
      .map(({ id, tasks, acceptedAt, cancellationSentAt }) => ({ name: `${id}.0.0`, tasks: tasks.length, budget: DISRUPTION_BUDGET, acceptedAt, cancelledAt: cancellationSentAt }))
    return disruptionBudgetViolations({ workers: emulator.workerIncarnations, orders: emulator.virtualMachines.orders, steps, noticeMilliseconds: NOTICE_MILLISECONDS, isCalm: (_, at) => faultIntervals.isFaultFree(at, at) })
  }

  /** Finds tasks that were started too often after they had crashed several workers. */
  private _crashingTasks (): string[] {
    const { ledger: { jobs }, emulator: { workerIncarnations } } = this._fleet
    const startTimes = this._startTimes()
    return [...jobs.values()].filter(({ isDeadly }) => isDeadly).flatMap(({ tasks: [task = ''] }) => {
      const crashes = workerIncarnations.flatMap(({ completions }) => completions.filter(completion => completion.task === task && completion.result === 'killed')).map(({ completedAt }) => completedAt)
      const thirdCrashAt = crashes.sort((left, right) => left - right)[2] ?? Infinity
      const startsAfter = (startTimes.get(task) ?? []).filter(startedAt => startedAt > thirdCrashAt).length
      return startsAfter >= MAXIMUM_STARTS_AFTER_THIRD_CRASH ? [`${task}: started ${startsAfter} times more after it had crashed three workers`] : []
    })
  }

  private _runsOfRefusedJobs (): string[] {
    const refused = [...this._fleet.ledger.jobs.values()].filter(({ acceptedAt, unconfirmedAttempts }) => acceptedAt === Infinity && unconfirmedAttempts === 0)
    const startTimes = this._startTimes()
    return refused.filter(({ tasks }) => tasks.some(task => startTimes.has(task))).map(({ id }) => `${id}: refused at every attempt, but started`)
  }

  private _startsAfterCancellation (): string[] {
    const startTimes = this._startTimes()
    const { ledger, faultIntervals } = this._fleet
    return [...ledger.jobs.values()].flatMap(({ tasks, cancelledAt }) => tasks.flatMap(task => (startTimes.get(task) ?? [])
      .filter(startedAt => startedAt > cancelledAt + CANCELLATION_BOUND_MILLISECONDS && faultIntervals.isFaultFree(cancelledAt, startedAt))
      .map(startedAt => `${task}: started ${startedAt - cancelledAt} ms after its job was cancelled`)))
  }

  /** Returns the times (epoch milliseconds) at which each task started. */
  private _startTimes (): Map<string, number[]> {
    const startTimes = new Map<string, number[]>()
    for (const { starts } of this._fleet.emulator.workerIncarnations) for (const { task, startedAt } of starts) startTimes.set(task, [...startTimes.get(task) ?? [], startedAt])
    return startTimes
  }
}
