/**
 * Writes the owner's decisions to the journal.
 */
import type { FeedError } from '../feeds/feed-error.js'
import type { JobBook } from '../jobs/job-book.js'
import type { JobJournal } from '../jobs/job-journal.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import type { Metrics } from '../observability/metrics.js'
import { aborted } from '../supervision/aborted.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { OwnedStep } from './owned-step.js'

/** Most steps of one append; a step of ordinary width is some hundred bytes. */
const MAXIMUM_STEPS_PER_APPEND = 256

/** Limit on one attempt, in milliseconds; a slow store takes some hundred. */
const APPEND_TIMEOUT_MILLISECONDS = 1_500

/** Longest pauses between attempts, in milliseconds. */
const BACKOFF_MILLISECONDS = [40, 400] as const

/** Time between the owner's signs of life, in milliseconds: a quarter of the silence that ends its term. */
const TERM_RENEWAL_INTERVAL_MILLISECONDS = 300

/** What is written in one append, and what follows once it lasts. */
interface Batch {
  readonly records: readonly JournalRecord[]
  readonly callbacks: ReadonlyArray<() => void>
}

/**
 * One append at a time: whatever changes meanwhile goes into the next. A step that changes several
 * times is written once, as it is then. An append without an answer is repeated under the same
 * sequence until the store answers.
 */
export class DecisionWriterTask extends Task {
  override readonly name = 'decision-writer'
  private readonly _wake = new Notifier()
  private readonly _backoff: Backoff
  private readonly _pendingSteps = new Set<OwnedStep>()
  private _pendingRecords: JournalRecord[] = []
  private _pendingCallbacks: Array<() => void> = []
  private _sequence = 1
  private _renewedAt: number
  private _confirmedAt: number
  private _confirmedAtTimeOfDay: number
  private _isWriting = false

  /**
   * @param _term whose first append, the claim, had sequence 0.
   * @param claimedAt epoch milliseconds before which the claim was sent.
   * @param _onTermLost called when the store has seen a higher term.
   */
  constructor (
    private readonly _journal: JobJournal, private readonly _jobTable: JobBook, private readonly _term: number, claimedAt: number, private readonly _holder: string, private readonly _onTermLost: (cause: string) => void,
    private readonly _clock: Clock, random: RandomSource, private readonly _metrics: Metrics
  ) {
    super()
    this._renewedAt = _clock.now()
    this._confirmedAt = claimedAt
    this._confirmedAtTimeOfDay = _clock.timeOfDay() - (this._renewedAt - claimedAt)
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  /**
   * Whether the store has taken this term for the newest one within some milliseconds. A suspended machine's clock
   * stands still, so that the time of day has to agree.
   */
  isTermConfirmedWithin (milliseconds: number): boolean {
    return this._clock.now() < this._confirmedAt + milliseconds && this._clock.timeOfDay() < this._confirmedAtTimeOfDay + milliseconds
  }

  /** Whether anything waits to be written. */
  get hasPendingWrites (): boolean {
    return this._isWriting || this._pendingCallbacks.length > 0 || this._pendingSteps.size > 0 || this._pendingRecords.length > 0
  }

  /** Writes a step's rows as they are at the next append, then calls `follower`. */
  writeStep (step: OwnedStep, follower?: () => void): void {
    this._pendingSteps.add(step)
    if (follower) this._pendingCallbacks.push(follower)
    this._wake.notify()
  }

  /** Writes a record, then calls `follower`. */
  append (record: JournalRecord, follower?: () => void): void {
    this._pendingRecords.push(record)
    if (follower) this._pendingCallbacks.push(follower)
    this._wake.notify()
  }

  /** Calls `follower` when all that waits now has been written. */
  whenWritten (follower: () => void): void {
    // What is on its way to the store isn't written yet.
    if (!this.hasPendingWrites) {
      follower()
      return
    }
    this._pendingCallbacks.push(follower)
    this._wake.notify()
  }

  /** Appends until `signal` is aborted; what was decided before that is written first. */
  override async run (signal: AbortSignal): Promise<void> {
    let isReleased = false
    while (!signal.aborted || !isReleased) {
      if (signal.aborted) {
        // The last record of the term: another process may claim the next one at once.
        this._pendingRecords.push({ kind: 'term', term: this._term, holder: this._holder, isReleased: true, at: this._clock.now() })
        isReleased = true
      } else if (this._clock.now() >= this._renewedAt + TERM_RENEWAL_INTERVAL_MILLISECONDS) {
        this._renewedAt = this._clock.now()
        this._pendingRecords.push({ kind: 'term', term: this._term, holder: this._holder, isReleased: false, at: this._renewedAt })
      }
      const batch = this._nextBatch()
      this._isWriting = true
      if (batch.records.length > 0 && !await this._appendToJournal(batch.records, signal)) {
        // Nothing more of this term lasts, so nothing may follow from it; a restart by the supervisor would forget that.
        await aborted(signal)
        return
      }
      this._isWriting = false
      for (const follower of batch.callbacks) follower()
      if (batch.records.length === 0 && batch.callbacks.length === 0) await this._wake.wait(this._clock, this._renewedAt + TERM_RENEWAL_INTERVAL_MILLISECONDS, signal)
    }
  }

  private _nextBatch (): Batch {
    const steps = [...this._pendingSteps].slice(0, MAXIMUM_STEPS_PER_APPEND)
    // Followers may wait for any of the steps, so they go with the last of them.
    const isLast = steps.length === this._pendingSteps.size
    for (const step of steps) this._pendingSteps.delete(step)
    const records = [...steps.map((step): JournalRecord => ({
      kind: 'progress', job: step.job.id, occurrence: step.occurrence, step: step.index, tasks: step.tasks.map(({ progress }) => progress)
    })), ...this._pendingRecords]
    this._pendingRecords = []
    const followers = isLast ? this._pendingCallbacks : []
    if (isLast) this._pendingCallbacks = []
    return { records, callbacks: followers }
  }

  private async _appendToJournal (records: readonly JournalRecord[], signal: AbortSignal): Promise<boolean> {
    const fence = { term: this._term, sequence: this._sequence }
    for (;;) {
      const startedAt = this._clock.now()
      const startedTimeOfDay = this._clock.timeOfDay()
      const result = await this._journal.append(records, fence, startedAt + APPEND_TIMEOUT_MILLISECONDS, new AbortController().signal)
      if (result.isRight()) {
        const offset = result.unsafeCoerce()
        records.forEach((record, index) => this._jobTable.apply(record, offset + index))
        this._sequence += 1
        this._confirmedAt = startedAt
        this._confirmedAtTimeOfDay = startedTimeOfDay
        this._backoff.reset()
        this._metrics.timing('journal.append.milliseconds', this._clock.now() - startedAt)
        return true
      }
      const error = result.extract() as FeedError
      this._metrics.count('journal.append_failures', 1, error.kind)
      if (error.kind !== 'refused' && error.kind !== 'unknown') {
        this._onTermLost(error.message)
        return false
      }
      // A stop doesn't wait for a store that is away; the next owner goes on from what lasts.
      if (signal.aborted) return false
      await this._backoff.pause(signal)
    }
  }
}
