/**
 * One term of owning the journal.
 */
import type { FeedError } from '../feeds/feed-error.js'
import type { JobJournal } from '../jobs/job-journal.js'
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { OwnerFactory } from './owner-factory.js'
import type { TermClaim } from './term-claim.js'

/** Part of a term's number that is drawn, so that two processes never claim the same term. */
const TERM_VARIETY = 2 ** 20

/** Limit on one attempt to claim, in milliseconds. */
const CLAIM_TIMEOUT_MILLISECONDS = 1_500

/** Longest pauses between attempts, in milliseconds. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/** How long an ended term's parts may take to stop before another may follow, in milliseconds. */
const STOP_TIMEOUT_MILLISECONDS = 1_000

/** Claims a term, reads the journal up to the claim, and runs the owner's tree until the term is lost or `signal` is aborted. */
export class TermTask extends Task {
  override readonly name = 'term'
  private readonly _backoff: Backoff

  constructor (
    private readonly _holder: string, private readonly _journal: JobJournal, private readonly _follower: JournalFollowerTask,
    private readonly _submitted: JobJournal, private readonly _submissions: JournalFollowerTask, private readonly _owners: OwnerFactory,
    private readonly _clock: Clock, private readonly _random: RandomSource, private readonly _log: DecisionLog
  ) {
    super()
    this._backoff = new Backoff(_clock, _random, ...BACKOFF_MILLISECONDS)
  }

  override async run (signal: AbortSignal): Promise<void> {
    const term = (Math.floor(this._follower.jobTable.term.number / TERM_VARIETY) + 1) * TERM_VARIETY + this._random.integer(TERM_VARIETY)
    const claim = await this._claim(term, signal)
    if (claim === null) return
    // The store takes nothing more of earlier terms after the claim; what they decided before it has to be known.
    while (this._follower.next <= claim.offset && !signal.aborted) await this._follower.changed.wait(this._clock, Infinity, signal)
    if (signal.aborted) return
    if (this._follower.jobTable.term.number !== term) {
      this._log.emit('claim overtaken', { term, by: this._follower.jobTable.term.number, holder: this._follower.jobTable.term.holder })
      return
    }
    if (!await this._catchUpOnSubmissions(signal)) return
    await this._own(term, claim, signal)
  }

  /** Reads all submissions up to now: what an earlier owner has decided on was among them. False if `signal` is aborted. */
  private async _catchUpOnSubmissions (signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted) {
      const page = await this._submitted.read(this._submissions.next, this._clock.now(), signal)
      if (page.isLeft()) {
        await this._backoff.pause(signal)
        continue
      }
      const { end } = page.unsafeCoerce()
      while (this._submissions.next < end && !signal.aborted) await this._submissions.changed.wait(this._clock, Infinity, signal)
      return !signal.aborted
    }
    return false
  }

  private async _own (term: number, claim: TermClaim, signal: AbortSignal): Promise<void> {
    const lost = new AbortController()
    const stop = (): void => lost.abort()
    signal.addEventListener('abort', stop, { once: true })
    const owner = this._owners.create(term, claim, cause => {
      if (!lost.signal.aborted) this._log.emit('term lost', { term, cause })
      lost.abort()
    })
    this._log.emit('term begins', { term, jobs: this._follower.jobTable.size, offset: this._follower.next })
    const ended = owner.run(lost.signal).finally(() => this._owners.ownerStopped())
    try {
      await Promise.race([ended, this._stopped(lost.signal)])
    } finally {
      signal.removeEventListener('abort', stop)
      lost.abort()
      this._log.emit('term ends', { term })
    }
  }

  private async _stopped (signal: AbortSignal): Promise<void> {
    await this._clock.sleepUntil(Infinity, signal).catch(() => {})
    await this._clock.sleepUntil(this._clock.now() + STOP_TIMEOUT_MILLISECONDS)
  }

  /** The claim, or null if another process was ahead. */
  private async _claim (term: number, signal: AbortSignal): Promise<TermClaim | null> {
    const before = this._follower.jobTable.term
    while (!signal.aborted) {
      const sentAt = this._clock.now()
      // The claim is taken only if nothing was written since, so that this is the predecessor's last sign of life.
      const predecessorHeardAt = this._follower.ownerHeardAt
      const claim = await this._journal.append(
        [{ kind: 'term', term, holder: this._holder, isReleased: false, at: sentAt }], { term, sequence: 0, expectedEnd: this._follower.next }, sentAt + CLAIM_TIMEOUT_MILLISECONDS, signal)
      if (claim.isRight()) return { offset: claim.unsafeCoerce(), sentAt, isHandover: before.isReleased && before.number > 0, predecessorLastContactAt: predecessorHeardAt }
      const error = claim.extract() as FeedError
      if (error.kind === 'moved') {
        // Either somebody submitted a job, or another process has claimed.
        await this._follower.changed.wait(this._clock, this._clock.now() + CLAIM_TIMEOUT_MILLISECONDS, signal)
        if (this._follower.jobTable.term.number !== before.number) return null
        continue
      }
      this._log.emit('claim failed', { term, cause: error.kind, detail: error.message })
      if (error.kind !== 'refused' && error.kind !== 'unknown') return null
      await this._backoff.pause(signal)
    }
    return null
  }
}
