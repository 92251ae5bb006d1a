/**
 * What must hold of a run.
 */
import type { Clock } from '../src/supervision/clock.js'
import { runViolations } from '../stand-ins/emulator/run-violations.js'
import type { CallerTask } from './caller-task.js'
import type { JobEntry } from './job-entry.js'
import type { SoakFleet } from './soak-fleet.js'

/** How long after the last fault everything accepted has to be finished, in milliseconds: leases lapse, and what waits runs. */
const FINISH_MILLISECONDS = 60_000

/** Time after which nothing of a cancelled job starts, in milliseconds, as the platform bounds it. */
const CANCEL_MILLISECONDS = 3_000

/** Time between two looks, in milliseconds. */
const LOOK_MILLISECONDS = 500

/** Reads callers' ledgers and workers' records only. */
export class SoakChecks {
  constructor (private readonly _fleet: SoakFleet, private readonly _caller: CallerTask, private readonly _clock: Clock) {}

  /** Findings after the last fault. */
  async findings (): Promise<string[]> {
    const { ledger, emulator, nodes } = this._fleet
    const accepted = [...ledger.jobs.values()].filter(({ acceptedAt }) => acceptedAt < Infinity)
    const ordinary = accepted.filter(({ isLasting }) => !isLasting)
    const lasting = accepted.filter(({ isLasting, isCancelSent }) => isLasting && !isCancelSent)
    const unfinished = await this._until(ordinary, async entry => {
      await this._caller.ask(entry)
      return entry.state === 'completed' || (entry.isCancelSent && entry.state === 'cancelled')
    })
    const idle = await this._until(lasting, async ({ tasks }) => tasks.every(task => emulator.lives.some(({ running }) => running.includes(task))))
    return [
      ...ledger.findings,
      ...unfinished.map(({ id, state }) => `${id}: accepted, and ${state === '' ? 'not known' : state} ${FINISH_MILLISECONDS} ms after the last fault`),
      ...idle.map(({ id }) => `${id}: lasts, and has a task that doesn't run`),
      ...runViolations(emulator.lives),
      ...this._refusedButRun(),
      ...this._cancelledButStarted(),
      ...nodes.flatMap(({ unexpectedEnds }) => unexpectedEnds)
    ]
  }

  /** Entries that don't come to hold in time. */
  private async _until (entries: readonly JobEntry[], holds: (entry: JobEntry) => Promise<boolean>): Promise<JobEntry[]> {
    const deadline = this._clock.now() + FINISH_MILLISECONDS
    let open = [...entries]
    while (open.length > 0 && this._clock.now() < deadline) {
      const left: JobEntry[] = []
      for (const entry of open) if (!await holds(entry)) left.push(entry)
      open = left
      await this._clock.sleepUntil(this._clock.now() + LOOK_MILLISECONDS)
    }
    return open
  }

  private _refusedButRun (): string[] {
    const refused = [...this._fleet.ledger.jobs.values()].filter(({ acceptedAt, openAttempts }) => acceptedAt === Infinity && openAttempts === 0)
    const started = this._startedAt()
    return refused.filter(({ tasks }) => tasks.some(task => started.has(task))).map(({ id }) => `${id}: refused at every attempt, and run`)
  }

  private _cancelledButStarted (): string[] {
    const started = this._startedAt()
    const { ledger, calm } = this._fleet
    return [...ledger.jobs.values()].flatMap(({ tasks, cancelledAt }) => tasks.flatMap(task => (started.get(task) ?? [])
      .filter(at => at > cancelledAt + CANCEL_MILLISECONDS && calm.isCalm(cancelledAt, at))
      .map(at => `${task}: started ${at - cancelledAt} ms after its job was cancelled`)))
  }

  /** Moments (epoch milliseconds) at which each task was started. */
  private _startedAt (): Map<string, number[]> {
    const started = new Map<string, number[]>()
    for (const { starts } of this._fleet.emulator.lives) for (const { task, at } of starts) started.set(task, [...started.get(task) ?? [], at])
    return started
  }
}
