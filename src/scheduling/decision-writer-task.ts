/**
 * Writes the owner's decisions to the journal.
 */
import type { FeedError } from '../feeds/feed-error.js'
import type { JobTable } from '../jobs/job-table.js'
import type { JobJournal } from '../jobs/job-journal.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import type { Metrics } from '../observability/metrics.js'
import { aborted } from '../supervision/aborted.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { ScheduledStep } from './scheduled-step.js'

/** Most steps of one append; a step of ordinary width is some hundred bytes. */
const MAXIMUM_STEPS = 256

/** Limit on one attempt, in milliseconds; a slow store takes some hundred. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 1_500

/** Longest pauses between attempts, in milliseconds. */
const BACKOFF_MILLISECONDS = [40, 400] as const

/** Time between the owner's signs of life, in milliseconds: a quarter of the silence that ends its term. */
const RENEWAL_MILLISECONDS = 300

/** What is written in one append, and what follows once it lasts. */
interface Batch {
  readonly records: readonly JournalRecord[]
  readonly followers: ReadonlyArray<() => void>
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
  private readonly _steps = new Set<ScheduledStep>()
  private _records: JournalRecord[] = []
  private _followers: Array<() => void> = []
  private _sequence = 1
  private _renewedAt: number
  private _confirmedAt: number
  private _confirmedTimeOfDay: number
  private _isWriting = false

  /**
   * @param _term whose first append, the claim, had sequence 0.
   * @param claimedAt epoch milliseconds before which the claim was sent.
   * @param _onLost called when the store has seen a higher term.
   */
  constructor (
    private readonly _journal: JobJournal, private readonly _book: JobTable, private readonly _term: number, claimedAt: number, private readonly _holder: string, private readonly _onLost: (cause: string) => void,
    private readonly _clock: Clock, random: RandomSource, private readonly _metrics: Metrics
  ) {
    super()
    this._renewedAt = _clock.now()
    this._confirmedAt = claimedAt
    this._confirmedTimeOfDay = _clock.timeOfDay() - (this._renewedAt - claimedAt)
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  /**
   * Whether the store has taken this term for the newest one within some milliseconds. A suspended machine's clock
   * stands still, so that the time of day has to agree.
   */
  isConfirmedWithin (milliseconds: number): boolean {
    return this._clock.now() < this._confirmedAt + milliseconds && this._clock.timeOfDay() < this._confirmedTimeOfDay + milliseconds
  }

  /** Whether anything waits to be written. */
  get isBehind (): boolean {
    return this._isWriting || this._followers.length > 0 || this._steps.size > 0 || this._records.length > 0
  }

  /** Writes a step's rows as they are at the next append, then calls `follower`. */
  write (step: ScheduledStep, follower?: () => void): void {
    this._steps.add(step)
    if (follower) this._followers.push(follower)
    this._wake.notify()
  }

  /** Writes a record, then calls `follower`. */
  append (record: JournalRecord, follower?: () => void): void {
    this._records.push(record)
    if (follower) this._followers.push(follower)
    this._wake.notify()
  }

  /** Calls `follower` when all that waits now has been written. */
  whenWritten (follower: () => void): void {
    // What is on its way to the store isn't written yet.
    if (!this.isBehind) {
      follower()
      return
    }
    this._followers.push(follower)
    this._wake.notify()
  }

  /** Appends until `signal` is aborted; what was decided before that is written first. */
  override async run (signal: AbortSignal): Promise<void> {
    let isReleased = false
    while (!signal.aborted || !isReleased) {
      if (signal.aborted) {
        // The last record of the term: another process may claim the next one at once.
        this._records.push({ kind: 'term', term: this._term, holder: this._holder, isReleased: true, at: this._clock.now() })
        isReleased = true
      } else if (this._clock.now() >= this._renewedAt + RENEWAL_MILLISECONDS) {
        this._renewedAt = this._clock.now()
        this._records.push({ kind: 'term', term: this._term, holder: this._holder, isReleased: false, at: this._renewedAt })
      }
      const batch = this._take()
      this._isWriting = true
      if (batch.records.length > 0 && !await this._write(batch.records, signal)) {
        // Nothing more of this term lasts, so nothing may follow from it; a restart by the supervisor would forget that.
        await aborted(signal)
        return
      }
      this._isWriting = false
      for (const follower of batch.followers) follower()
      if (batch.records.length === 0 && batch.followers.length === 0) await this._wake.wait(this._clock, this._renewedAt + RENEWAL_MILLISECONDS, signal)
    }
  }

  private _take (): Batch {
    const steps = [...this._steps].slice(0, MAXIMUM_STEPS)
    // Followers may wait for any of the steps, so they go with the last of them.
    const isLast = steps.length === this._steps.size
    for (const step of steps) this._steps.delete(step)
    const records = [...steps.map((step): JournalRecord => ({
      kind: 'progress', job: step.job.id, occurrence: step.occurrence, step: step.index, tasks: step.tasks.map(({ progress }) => progress)
    })), ...this._records]
    this._records = []
    const followers = isLast ? this._followers : []
    if (isLast) this._followers = []
    return { records, followers }
  }

  private async _write (records: readonly JournalRecord[], signal: AbortSignal): Promise<boolean> {
    const fence = { term: this._term, sequence: this._sequence }
    for (;;) {
      const startedAt = this._clock.now()
      const startedTimeOfDay = this._clock.timeOfDay()
      const result = await this._journal.append(records, fence, startedAt + ATTEMPT_TIMEOUT_MILLISECONDS, new AbortController().signal)
      if (result.isRight()) {
        const offset = result.unsafeCoerce()
        records.forEach((record, index) => this._book.apply(record, offset + index))
        this._sequence += 1
        this._confirmedAt = startedAt
        this._confirmedTimeOfDay = startedTimeOfDay
        this._backoff.reset()
        this._metrics.timing('journal.append.milliseconds', this._clock.now() - startedAt)
        return true
      }
      const error = result.extract() as FeedError
      this._metrics.count('journal.append_failures', 1, error.kind)
      if (error.kind !== 'refused' && error.kind !== 'unknown') {
        this._onLost(error.message)
        return false
      }
      // A stop doesn't wait for a store that is away; the next owner goes on from what lasts.
      if (signal.aborted) return false
      await this._backoff.pause(signal)
    }
  }
}
