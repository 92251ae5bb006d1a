/**
 * Sees to it that somebody owns the journal.
 */
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'

/** Silence in the journal after which its owner counts as gone, in milliseconds: it writes four times in it. */
const SILENCE_MILLISECONDS = 1_300

/** Time between two looks, in milliseconds. */
const LOOK_MILLISECONDS = 100

/** A gap in this process's own view after which the owner is given time to be heard again, in milliseconds. */
const VIEW_GAP_MILLISECONDS = 1_200

/** Age of the view beyond which nothing is claimed, in milliseconds: who can't read can't own. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 1_500

/** Longest pause of a process that has run for long before it claims, in milliseconds. */
const SENIORITY_PAUSE_MILLISECONDS = 250

/** Run time from which on a process pauses for longest, in milliseconds. */
const SENIORITY_MILLISECONDS = 30_000

/** Drawn part of the pause, in milliseconds, so that equals don't claim at once. */
const DRAWN_PAUSE_MILLISECONDS = 150

/** Longest pause of a process whose VM is unfit for the owner's work, in milliseconds: longer than all others together. */
const UNFITNESS_PAUSE_MILLISECONDS = 900

/** Least time between two terms of one process, in milliseconds, so that two that depose each other don't take turns. */
const TERM_PAUSE_MILLISECONDS = 1_000

/**
 * Ownership stays where it is until its holder releases it or falls silent, because each change costs a
 * recovery. Processes on VMs with room for the owner's work claim before those on small ones, and the youngest first: a
 * rolling restart, which stops one after the other, comes to it last.
 */
export class OwnershipTask extends Task {
  override readonly name = 'ownership'
  private readonly _startedAt: number
  private _records = -1
  private _heardAt = 0
  private _viewSince = 0
  private _lastFreshAt = 0

  /**
   * @param _holder name of this process's life.
   * @param _terms supervisor of the term, if there is one.
   * @param _createTerm a term to claim and live through.
   * @param _unfitness how unfit the VM is for the owner's work, from 0 to 1.
   */
  constructor (
    private readonly _holder: string, private readonly _follower: JournalFollowerTask, private readonly _terms: Supervisor, private readonly _createTerm: () => Task, private readonly _unfitness: number,
    private readonly _clock: Clock, private readonly _random: RandomSource, private readonly _log: DecisionLog
  ) {
    super()
    this._startedAt = _clock.now()
  }

  override async run (signal: AbortSignal): Promise<void> {
    let claimAt = 0
    while (!signal.aborted) {
      const now = this._clock.now()
      const cause = this._vacancy(now)
      if (cause === null) claimAt = 0
      else if (claimAt === 0) claimAt = now + this._pause(now, cause)
      if (cause !== null && now >= claimAt) {
        this._log.emit('claiming', { cause, term: this._follower.jobTable.term.number, holder: this._follower.jobTable.term.holder, freshAt: Math.round(this._follower.freshAt) })
        const term = this._terms.start(this._createTerm())
        const stop = (): void => { term.stop().catch(() => {}) }
        signal.addEventListener('abort', stop, { once: true })
        await term.ended
        signal.removeEventListener('abort', stop)
        claimAt = this._clock.now() + TERM_PAUSE_MILLISECONDS + this._pause(now, 'own term ended')
      }
      await this._clock.sleepUntil(this._clock.now() + LOOK_MILLISECONDS, signal).catch(() => {})
    }
  }

  /** Why the journal has no owner, or null if it has one or this process can't tell. */
  private _vacancy (now: number): string | null {
    const { jobTable: book, freshAt, isLoaded } = this._follower
    if (!isLoaded) return null
    if (book.ownerRecords !== this._records) {
      // What the first reading brings may be old. A wrong clock costs an early claim, no more.
      this._heardAt = this._records < 0 ? Math.min(now, book.term.at) : now
      this._records = book.ownerRecords
    }
    const isFirstView = this._lastFreshAt === 0
    if (!isFirstView && freshAt > this._lastFreshAt + VIEW_GAP_MILLISECONDS) this._viewSince = freshAt
    this._lastFreshAt = freshAt
    if (freshAt < now - MAXIMUM_VIEW_AGE_MILLISECONDS) return null
    if (book.term.isReleased) return 'released'
    if (book.term.holder === this._holder) return 'own term ended'
    return freshAt > Math.max(this._heardAt, this._viewSince) + SILENCE_MILLISECONDS ? 'silent' : null
  }

  private _pause (now: number, cause: string): number {
    // Only a stop in good order says that there may be more of them.
    const seniority = cause !== 'released' ? 0 : Math.min(1, (now - this._startedAt) / SENIORITY_MILLISECONDS)
    return this._unfitness * UNFITNESS_PAUSE_MILLISECONDS + seniority * SENIORITY_PAUSE_MILLISECONDS + this._random.next() * DRAWN_PAUSE_MILLISECONDS
  }
}
