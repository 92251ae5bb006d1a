/**
 * Claims ownership of the journal when it has no owner.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import type { TermHolder } from './term-holder.js'

/** Time without a record from the owner after which it is considered dead, in milliseconds; a live owner writes four times within it. */
const OWNER_TIMEOUT_MILLISECONDS = 1_300

/** Time between two checks of the owner, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 100

/** Gap in this process's own view after which the owner timeout starts anew, in milliseconds. */
const VIEW_GAP_MILLISECONDS = 1_200

/** Age of the view beyond which nothing is claimed, in milliseconds: an owner has to be able to read the journal. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 1_500

/** Longest delay before a claim for a long uptime, in milliseconds. */
const MAXIMUM_UPTIME_DELAY_MILLISECONDS = 250

/** Uptime from which on that delay is longest, in milliseconds. */
const UPTIME_OF_MAXIMUM_DELAY_MILLISECONDS = 30_000

/** Longest random delay before a claim, in milliseconds, so that equal processes don't claim at the same time. */
const MAXIMUM_RANDOM_DELAY_MILLISECONDS = 150

/** Longest delay before a claim for a VM without the resources that an owner needs, in milliseconds; exceeds all other delays together. */
const MAXIMUM_SHORTFALL_DELAY_MILLISECONDS = 900

/**
 * Time by which the first and the last view that resume after an outage of the store may show a vacancy apart, in milliseconds: timeout of a read and longest backoff
 * (2.1 s), and the steps in which views advance.
 */
const RESUMPTION_SPREAD_MILLISECONDS = 3_000

/** Minimum time between two terms of one process, in milliseconds, so that two processes that depose each other don't keep alternating. */
const MINIMUM_TERM_GAP_MILLISECONDS = 1_000

/**
 * Ownership changes only when the holder releases it or stops writing, because every change costs a recovery.
 * Processes on VMs with the resources that an owner needs claim before those on smaller VMs. After a release, the process
 * with the shortest uptime claims first, because a rolling restart stops it last.
 */
export class OwnershipTask extends Task {
  override readonly name = 'ownership'
  private readonly _startedAt: number
  private _ownerRecordCount = -1
  private _ownerLastContactAt = 0
  private _viewResumedAt = 0
  private _previousFreshAt = 0

  /**
   * @param _holder this incarnation of the process.
   * @param _decisions follower of the topic that owners write to.
   * @param _submissions follower of the other topic, which tells an owner how to continue the fleet time.
   * @param _termSupervisor runs the term while there is one.
   * @param _createTerm creates the task that claims a term and runs the owner in it.
   * @param _resourceShortfall missing fraction of the resources that an owner needs, from 0 to 1.
   */
  constructor (
    private readonly _holder: TermHolder, private readonly _decisions: JournalFollowerTask, private readonly _submissions: JournalFollowerTask, private readonly _termSupervisor: Supervisor, private readonly _createTerm: () => Task, private readonly _resourceShortfall: number,
    private readonly _fleetTime: FleetTime, private readonly _clock: Clock, private readonly _random: RandomSource, private readonly _log: DecisionLog
  ) {
    super()
    this._startedAt = _clock.now()
  }

  override async run (signal: AbortSignal): Promise<void> {
    let claimAt = 0
    while (!signal.aborted) {
      const now = this._clock.now()
      const cause = this._vacancyCause(now)
      if (cause === null) claimAt = 0
      else if (claimAt === 0) {
        claimAt = Math.max(now + this._claimDelay(now, cause), this._othersResumedAt)
        this._log.emit('journal has no owner', { ...this._vacancyFields(cause), claimAt: Math.round(claimAt) })
      }
      if (cause !== null && now >= claimAt) {
        this._log.emit('claiming term', this._vacancyFields(cause))
        const term = this._termSupervisor.start(this._createTerm())
        const stop = (): void => { term.stop().catch(() => {}) }
        signal.addEventListener('abort', stop, { once: true })
        await term.ended
        signal.removeEventListener('abort', stop)
        claimAt = this._clock.now() + MINIMUM_TERM_GAP_MILLISECONDS + this._claimDelay(now, 'own term ended')
      }
      await this._clock.sleepUntil(this._clock.now() + POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  /** Returns why the journal has no owner, or null if it has one or this process can't tell. */
  private _vacancyCause (now: number): string | null {
    const { jobTable, freshAt, isLoaded } = this._decisions
    if (!isLoaded || !this._submissions.isLoaded) return null
    if (jobTable.ownerRecordCount !== this._ownerRecordCount) {
      // The first read may return old records. A wrong clock of this process only causes an early claim.
      this._ownerLastContactAt = this._ownerRecordCount < 0 ? Math.min(now, this._fleetTime.toLocal(jobTable.term.renewedAt)) : now
      this._ownerRecordCount = jobTable.ownerRecordCount
    }
    const isFirstView = this._previousFreshAt === 0
    if (!isFirstView && freshAt > this._previousFreshAt + VIEW_GAP_MILLISECONDS) this._viewResumedAt = freshAt
    this._previousFreshAt = freshAt
    if (freshAt < now - MAXIMUM_VIEW_AGE_MILLISECONDS) return null
    if (jobTable.term.isReleased) return 'released'
    if (jobTable.term.holder === this._holder.name) return 'own term ended'
    return freshAt > Math.max(this._ownerLastContactAt, this._viewResumedAt) + OWNER_TIMEOUT_MILLISECONDS ? 'silent' : null
  }

  /** Fields of log lines that tell why this process claims a term when it does. */
  private _vacancyFields (cause: string): Readonly<Record<string, string | number>> {
    const { jobTable: { term }, freshAt } = this._decisions
    return { cause, term: term.number, holder: term.holder, freshAt: Math.round(freshAt), viewResumedAt: Math.round(this._viewResumedAt), resourceShortfall: Number(this._resourceShortfall.toFixed(2)) }
  }

  /** Epoch milliseconds by which processes on larger VMs, whose views may have resumed later than this one's, claim a term that is vacant since then. */
  private get _othersResumedAt (): number {
    return this._viewResumedAt + OWNER_TIMEOUT_MILLISECONDS + this._resourceShortfall * RESUMPTION_SPREAD_MILLISECONDS
  }

  /** Returns how long to wait before a claim, in milliseconds. */
  private _claimDelay (now: number, cause: string): number {
    // Only a released term suggests a rolling restart, in which more processes are about to stop.
    const uptimeRatio = cause !== 'released' ? 0 : Math.min(1, (now - this._startedAt) / UPTIME_OF_MAXIMUM_DELAY_MILLISECONDS)
    return this._resourceShortfall * MAXIMUM_SHORTFALL_DELAY_MILLISECONDS + uptimeRatio * MAXIMUM_UPTIME_DELAY_MILLISECONDS + this._random.next() * MAXIMUM_RANDOM_DELAY_MILLISECONDS
  }
}
