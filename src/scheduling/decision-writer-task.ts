/**
 * Writer of the owner's decisions to the journal.
 */
import type { FeedError } from '../feeds/feed-error.js'
import type { FleetTime } from '../jobs/fleet-time.js'
import type { JobJournal } from '../jobs/job-journal.js'
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import type { Metrics } from '../observability/metrics.js'
import type { TermHolder } from '../ownership/term-holder.js'
import { aborted } from '../supervision/aborted.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import { NEVER_ABORTED } from '../supervision/never-aborted.js'
import { Notifier } from '../supervision/notifier.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { LeaseRenewalPermit } from '../leases/lease-renewal-permit.js'
import { PendingDecisions } from './pending-decisions.js'
import type { ScheduledStep } from './scheduled-step.js'
import type { UnsettledStarts } from '../takeover/unsettled-starts.js'

/** Timeout of one attempt; a slow store responds within a few hundred milliseconds. */
const APPEND_TIMEOUT_MILLISECONDS = 1_500

/** Base and ceiling of the backoff between attempts. */
const BACKOFF_MILLISECONDS = [40, 400] as const

/** A quarter of the time without records after which another process may claim the next term. */
const TERM_RENEWAL_INTERVAL_MILLISECONDS = 300

/**
 * Runs one append at a time; changes made meanwhile go into the next one. A step that changed several
 * times since the last append is written once, in its current state. An append without a response is
 * retried with the same sequence number until the store responds.
 */
export class DecisionWriterTask extends Task {
  override readonly name = 'decision-writer'
  private readonly _wake = new Notifier()
  private readonly _backoff: Backoff
  private readonly _pending: PendingDecisions
  private _sequence = 1
  private _renewedAt: number
  private _confirmedAt: number
  private _confirmedAtTimeOfDay: number
  private _isWriting = false
  private _isAnnouncementDue = false
  private _areSettledStartsDue = false

  /**
   * @param _decisions follower of the journal, which needn't read what this task has written.
   * @param _term the owner's term; its first append, the claim, had sequence number 0.
   * @param claimedAt epoch milliseconds at which the claim was sent.
   * @param _leaseRenewalPermit what the term's records say of leases.
   * @param _unsettledStarts what the records say of starts.
   * @param _onTermLost called when the store rejects an append for good, as it does once a higher term has been claimed.
   */
  constructor (
    private readonly _journal: JobJournal, private readonly _decisions: Pick<JournalFollowerTask, 'jobTable' | 'recordOwnAppend'>, private readonly _term: number, claimedAt: number, private readonly _holder: TermHolder, private readonly _leaseRenewalPermit: LeaseRenewalPermit, private readonly _unsettledStarts: Pick<UnsettledStarts, 'takeChange'>, private readonly _fleetTime: FleetTime, private readonly _onTermLost: (cause: string) => void,
    private readonly _clock: Clock, random: RandomSource, private readonly _metrics: Metrics
  ) {
    super()
    this._pending = new PendingDecisions(_journal)
    this._renewedAt = _clock.now()
    this._confirmedAt = claimedAt
    this._confirmedAtTimeOfDay = _clock.timeOfDay() - (this._renewedAt - claimedAt)
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  /**
   * Returns whether the store confirmed this term as the newest one within the given time. Checks the time of day as
   * well, because the monotonic clock stands still while the VM is suspended.
   */
  isTermConfirmedWithin (milliseconds: number): boolean {
    return this._clock.now() < this._confirmedAt + milliseconds && this._clock.timeOfDay() < this._confirmedAtTimeOfDay + milliseconds
  }

  /** Writes that this owner extends leases, after all that has been decided so far. */
  announceLeaseRenewals (): void {
    this._isAnnouncementDue = true
    this._wake.notify()
  }

  /** Writes which starts are settled with the next append, without waiting for anything else to be written. */
  writeSettledStarts (): void {
    this._areSettledStartsDue = true
    this._wake.notify()
  }

  /** Renews the term with the next append, because what its record says has changed. */
  renewTerm (): void {
    this._renewedAt = -Infinity
    this._wake.notify()
  }

  /** Whether an append is in progress, or records or callbacks wait for one. */
  get hasPendingWrites (): boolean {
    return this._isWriting || !this._pending.isEmpty
  }

  /** Writes the step's state as of the next append, then calls `onWritten`. */
  writeStep (step: ScheduledStep, onWritten?: () => void): void {
    this._pending.addStep(step)
    if (onWritten) this._pending.addCallback(onWritten)
    this._wake.notify()
  }

  /** Writes a record, then calls `onWritten`. */
  append (record: JournalRecord, onWritten?: () => void): void {
    this._pending.addRecord(record)
    if (onWritten) this._pending.addCallback(onWritten)
    this._wake.notify()
  }

  /** Calls `onWritten` once everything pending at the time of this call has been written. */
  whenWritten (onWritten: () => void): void {
    // A batch that is being appended also counts as pending.
    if (!this.hasPendingWrites) {
      onWritten()
      return
    }
    this._pending.addCallback(onWritten)
    this._wake.notify()
  }

  /** Appends until `signal` is aborted; decisions made before that are written first, followed by the release of the term. */
  override async run (signal: AbortSignal): Promise<void> {
    let isReleased = false
    while (!signal.aborted || !isReleased) {
      const batch = this._pending.take(this._leadingRecords(signal.aborted))
      isReleased = signal.aborted && batch.isLast
      const records = [...batch.records, ...batch.isLast ? this._closingRecords(isReleased) : []]
      this._isWriting = true
      if (records.length > 0 && !await this._appendToJournal(records, signal)) {
        // Nothing more of this term may become durable, so no further callback may run. The supervisor would restart
        // a task that returns, and the restarted task would go on with the next batch.
        await aborted(signal)
        return
      }
      this._isWriting = false
      for (const callback of batch.callbacks) callback()
      if (records.length === 0 && batch.callbacks.length === 0) await this._wake.wait(this._clock, this._renewedAt + TERM_RENEWAL_INTERVAL_MILLISECONDS, signal)
    }
  }

  /**
   * Returns the record that renews the term if it is due, and what has changed about starts if anything is written. They go first, so that no amount of decisions delays them.
   *
   * @param isLast whether the release of the term follows.
   */
  private _leadingRecords (isLast: boolean): JournalRecord[] {
    const records: JournalRecord[] = []
    if (this._clock.now() >= this._renewedAt + TERM_RENEWAL_INTERVAL_MILLISECONDS) {
      this._renewedAt = this._clock.now()
      records.push(this._termRecord(false, this._renewedAt))
    }
    if (records.length === 0 && this._pending.isEmpty && !this._areSettledStartsDue && !isLast) return records
    this._areSettledStartsDue = false
    const starts = this._unsettledStarts.takeChange()
    if (starts) records.push({ kind: 'settled-starts', starts })
    return records
  }

  /** Returns what follows all other decisions: the release, which lets another process claim the next term at once, or the announcement. */
  private _closingRecords (isReleased: boolean): JournalRecord[] {
    if (isReleased) return [this._termRecord(true, this._clock.now())]
    if (!this._isAnnouncementDue) return []
    this._isAnnouncementDue = false
    this._leaseRenewalPermit.announce()
    this._renewedAt = this._clock.now()
    return [this._termRecord(false, this._renewedAt)]
  }

  private _termRecord (isReleased: boolean, at: number): Extract<JournalRecord, { kind: 'term' }> {
    const { name: holder, process } = this._holder
    return { kind: 'term', term: this._term, holder, process, isReleased, at: this._fleetTime.fromLocal(at), renewals: this._leaseRenewalPermit.createRecord(isReleased) }
  }

  private async _appendToJournal (records: readonly JournalRecord[], signal: AbortSignal): Promise<boolean> {
    const fence = { term: this._term, sequence: this._sequence }
    for (;;) {
      const startedAt = this._clock.now()
      const startedTimeOfDay = this._clock.timeOfDay()
      const result = await this._journal.append(records, fence, startedAt + APPEND_TIMEOUT_MILLISECONDS, NEVER_ABORTED)
      if (result.isRight()) {
        const range = result.unsafeCoerce()
        // A record may take several offsets; those of the records of one append only have to be in order.
        records.forEach((record, index) => this._decisions.jobTable.apply(record, range.first + index))
        this._decisions.recordOwnAppend(range, startedAt)
        this._sequence += 1
        this._confirmedAt = startedAt
        this._confirmedAtTimeOfDay = startedTimeOfDay
        if (records.some(({ kind }) => kind === 'term')) this._leaseRenewalPermit.confirmRecord()
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
      // Shutdown does not wait for an unavailable store; the next owner continues from what is durable.
      if (signal.aborted) return false
      await this._backoff.pause(signal)
    }
  }
}
