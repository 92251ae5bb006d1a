/**
 * Runs one term of ownership of the journal.
 */
import type { FeedError } from '../feeds/feed-error.js'
import type { FleetTime } from '../jobs/fleet-time.js'
import type { JobJournal } from '../jobs/job-journal.js'
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import type { DecisionLog } from '../observability/decision-log.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import { EarlierOwners } from './earlier-owners.js'
import type { OwnerFactory } from './owner-factory.js'
import type { TermClaim } from './term-claim.js'
import type { TermHolder } from './term-holder.js'
import { TOKENS_PER_TERM } from './tokens-per-term.js'

/** Range of the random part of a term's number, in units of the tokens per term; it keeps two processes from claiming the same term. */
const RANDOM_TERM_RANGE = 2 ** 20

/** Least difference between the numbers of two terms without their random parts. */
const TERM_RANGE = RANDOM_TERM_RANGE * TOKENS_PER_TERM

/** Timeout of one attempt to claim a term, in milliseconds. */
const CLAIM_TIMEOUT_MILLISECONDS = 1_500

/** Base and ceiling of the backoff between attempts, in milliseconds. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/** How long the owner's tree may take to stop before the term ends without it, in milliseconds. */
const STOP_TIMEOUT_MILLISECONDS = 1_000

/** A claim that the store has accepted. */
interface AcceptedClaim {
  readonly claim: TermClaim
  /** Resolves when the submissions have been read up to the claim, to false if the term has ended before. */
  readonly submissionsRead: Promise<boolean>
}

/** Claims a term, reads the journal up to the claim, and runs the owner's tree until the term is lost or `signal` is aborted. */
export class TermTask extends Task {
  override readonly name = 'term'
  private readonly _backoff: Backoff

  /**
   * @param _holder this incarnation of the process.
   * @param _decisionJournal topic of the owner's decisions; `_decisions` follows it.
   * @param _submissionJournal topic of submissions and cancellations; `_submissions` follows it.
   */
  constructor (
    private readonly _holder: TermHolder, private readonly _decisionJournal: JobJournal, private readonly _decisions: JournalFollowerTask,
    private readonly _submissionJournal: JobJournal, private readonly _submissions: JournalFollowerTask, private readonly _ownerFactory: OwnerFactory, private readonly _fleetTime: FleetTime,
    private readonly _clock: Clock, private readonly _random: RandomSource, private readonly _log: DecisionLog
  ) {
    super()
    this._backoff = new Backoff(_clock, _random, ...BACKOFF_MILLISECONDS)
  }

  override async run (signal: AbortSignal): Promise<void> {
    const term = (Math.floor(this._decisions.jobTable.term.number / TERM_RANGE) + 1) * TERM_RANGE + this._random.integer(RANDOM_TERM_RANGE) * TOKENS_PER_TERM
    const accepted = await this._claim(term, signal)
    if (accepted === null) return
    const { claim, submissionsRead } = accepted
    // The store rejects appends of earlier terms after the claim; all decisions before it have to be applied first.
    while (this._decisions.nextOffset <= claim.offset && !signal.aborted) await this._decisions.changed.wait(this._clock, Infinity, signal)
    if (signal.aborted) return
    if (this._decisions.jobTable.term.number !== term) {
      this._log.emit('term claim superseded', { term, by: this._decisions.jobTable.term.number, holder: this._decisions.jobTable.term.holder })
      return
    }
    if (await submissionsRead) await this._runOwner(term, claim, signal)
  }

  /** Reads all submissions up to now, which include those that the decisions read by now are on. Returns false if `signal` is aborted. */
  private async _catchUpOnSubmissions (signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted) {
      const page = await this._submissionJournal.read(this._submissions.nextOffset, this._clock.now(), signal)
      if (page.isLeft()) {
        await this._backoff.pause(signal)
        continue
      }
      const { end } = page.unsafeCoerce()
      while (this._submissions.nextOffset < end && !signal.aborted) await this._submissions.changed.wait(this._clock, Infinity, signal)
      return !signal.aborted
    }
    return false
  }

  private async _runOwner (term: number, claim: TermClaim, signal: AbortSignal): Promise<void> {
    const stopController = new AbortController()
    const stop = (): void => stopController.abort()
    signal.addEventListener('abort', stop, { once: true })
    const owner = this._ownerFactory.create(term, claim, cause => {
      if (!stopController.signal.aborted) this._log.emit('term lost', { term, cause })
      stopController.abort()
    })
    const { previous, lastContactAt, renewLeasesUntil, namedWorkers } = claim.earlierOwners
    this._log.emit('term begins', {
      term,
      jobs: this._decisions.jobTable.size,
      offset: this._decisions.nextOffset,
      previousTerm: previous.number,
      previousHolder: previous.holder,
      isPreviousReleased: previous.isReleased,
      previousContactAt: Math.round(lastContactAt),
      leasesRenewedUntil: Math.round(renewLeasesUntil),
      namedWorkers
    })
    const ended = owner.run(stopController.signal).finally(() => this._ownerFactory.ownerStopped())
    try {
      await Promise.race([ended, this._stopTimeout(stopController.signal)])
    } finally {
      signal.removeEventListener('abort', stop)
      stopController.abort()
      this._log.emit('term ends', { term })
    }
  }

  /** Resolves when the stop timeout has passed after `signal` was aborted. */
  private async _stopTimeout (signal: AbortSignal): Promise<void> {
    await this._clock.sleepUntil(Infinity, signal).catch(() => {})
    await this._clock.sleepUntil(this._clock.now() + STOP_TIMEOUT_MILLISECONDS)
  }

  /** Claims the term, and reads the submissions meanwhile. Returns null if another process was first, the store rejected the claim for good, or `signal` is aborted. */
  private async _claim (term: number, signal: AbortSignal): Promise<AcceptedClaim | null> {
    const { number } = this._decisions.jobTable.term
    while (!signal.aborted) {
      const attempt = new AbortController()
      const stop = (): void => attempt.abort()
      signal.addEventListener('abort', stop, { once: true })
      const submissionsRead = this._catchUpOnSubmissions(attempt.signal).finally(() => signal.removeEventListener('abort', stop))
      const sentAt = this._clock.now()
      const previousTerm = this._decisions.jobTable.term
      // The store accepts the claim only if nothing was written since, so that this is the predecessor's last contact.
      const earlierOwners = new EarlierOwners(this._decisions.jobTable, previousTerm, this._decisions.ownerLastContactAt, sentAt)
      const record: JournalRecord = { kind: 'term', term, holder: this._holder.name, process: this._holder.process, isReleased: false, at: this._fleetTime.fromLocal(sentAt), renewals: previousTerm.renewals }
      const claim = await this._decisionJournal.append([record], { term, sequence: 0, expectedEnd: this._decisions.nextOffset }, sentAt + CLAIM_TIMEOUT_MILLISECONDS, signal)
      if (claim.isRight()) {
        const range = claim.unsafeCoerce()
        this._decisions.jobTable.apply(record, range.first)
        this._decisions.recordOwnAppend(range, sentAt)
        return { claim: { offset: range.first, sentAt, earlierOwners }, submissionsRead }
      }
      attempt.abort()
      const error = claim.extract() as FeedError
      if (error.kind === 'moved') {
        // Either the predecessor has written another record, or another process has claimed a term.
        await this._decisions.changed.wait(this._clock, this._clock.now() + CLAIM_TIMEOUT_MILLISECONDS, signal)
        if (this._decisions.jobTable.term.number !== number) return null
        continue
      }
      this._log.emit('term claim failed', { term, cause: error.kind, detail: error.message })
      if (error.kind !== 'refused' && error.kind !== 'unknown') return null
      await this._backoff.pause(signal)
    }
    return null
  }
}
