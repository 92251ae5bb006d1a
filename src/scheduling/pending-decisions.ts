/**
 * Decisions that wait to be written to the journal.
 */
import type { JobJournal } from '../jobs/job-journal.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import type { RunCrash } from '../jobs/run-crash.js'
import type { TaskProgress } from '../jobs/task-progress.js'
import type { ScheduledStep } from './scheduled-step.js'

/** Upper bounds on the encoded size of a task's progress and its parts, in bytes. */
const ROW_BYTES = 110
const CHARACTER_BYTES = 6
const RUN_BYTES = 24
const UNPROVEN_END_BYTES = 120

/** Records of one append, and the callbacks to run once they are durable. */
interface Batch {
  readonly records: readonly JournalRecord[]
  readonly callbacks: ReadonlyArray<() => void>
  /** Whether nothing else waits. */
  readonly isLast: boolean
}

/** Collects changed steps, which are written once, in the state of that moment, and other records. */
export class PendingDecisions {
  private readonly _steps = new Set<ScheduledStep>()
  private _records: JournalRecord[] = []
  private _callbacks: Array<() => void> = []

  constructor (private readonly _journal: Pick<JobJournal, 'sizeLimits' | 'sizeOf'>) {}

  get isEmpty (): boolean {
    return this._steps.size === 0 && this._records.length === 0 && this._callbacks.length === 0
  }

  /** Adds a step whose state has changed. */
  addStep (step: ScheduledStep): void {
    this._steps.add(step)
  }

  /** Adds a record. */
  addRecord (record: JournalRecord): void {
    this._records.push(record)
  }

  /** Adds a callback to be run when everything that waits now has been written. */
  addCallback (callback: () => void): void {
    this._callbacks.push(callback)
  }

  /**
   * Takes as many decisions as fit into one append: at least one, if there is one. A callback may depend on any of them, so callbacks come with the last.
   *
   * @param first records that go first.
   */
  take (first: readonly JournalRecord[]): Batch {
    const records = [...first]
    let free = this._journal.sizeLimits.append - first.reduce((sum, record) => sum + this._journal.sizeOf(record), 0)
    const fits = (size: number): boolean => {
      free -= size
      return free >= 0 || records.length === 0
    }
    for (const step of this._steps) {
      // A step is closed only once the journal has its last state.
      if (!step.isOpen) {
        this._steps.delete(step)
        continue
      }
      const record = this._progressOf(step)
      if (!fits(this._largestSizeOf(record.tasks))) return { records, callbacks: [], isLast: false }
      records.push(record)
      this._steps.delete(step)
    }
    let taken = 0
    for (const record of this._records) {
      if (!fits(this._journal.sizeOf(record))) break
      records.push(record)
      taken += 1
    }
    this._records = this._records.slice(taken)
    if (this._records.length > 0) return { records, callbacks: [], isLast: false }
    const callbacks = this._callbacks
    this._callbacks = []
    return { records, callbacks, isLast: true }
  }

  private _progressOf (step: ScheduledStep): Extract<JournalRecord, { kind: 'progress' }> {
    return { kind: 'progress', job: step.job.id, occurrence: step.occurrence, step: step.index, tasks: step.tasks.map(({ progress }) => progress) }
  }

  /** Returns an upper bound: encoding a large step only for its size would take as long as writing it. */
  private _largestSizeOf (tasks: readonly TaskProgress[]): number {
    return tasks.reduce((sum, { worker, checkpoint, failedRuns, crashes, copy }) =>
      sum + ROW_BYTES + CHARACTER_BYTES * (worker.length + checkpoint.length) + (copy ? ROW_BYTES + CHARACTER_BYTES * copy.worker.length : 0) + RUN_BYTES * failedRuns.length + crashes.reduce((bytes, crash) => bytes + this._largestSizeOfCrash(crash), 0), 0)
  }

  private _largestSizeOfCrash ({ unprovenEnd }: RunCrash): number {
    return unprovenEnd ? RUN_BYTES + UNPROVEN_END_BYTES + CHARACTER_BYTES * (unprovenEnd.worker.length + unprovenEnd.address.length) : RUN_BYTES
  }
}
