/**
 * When an owner may extend leases.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { LeaseRenewals } from '../jobs/lease-renewals.js'
import { RENEWAL_GRACE_PERIOD } from '../jobs/renewal-grace-period.js'
import { resumptionQuorum } from '../jobs/resumption-quorum.js'
import type { WorkerClock } from '../jobs/worker-clock.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { EarlierOwners } from '../ownership/earlier-owners.js'
import type { TermHolder } from '../ownership/term-holder.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { WorkerTable } from '../workers/worker-table.js'

/** Increase of the difference between the time of day and the steady clock that suggests a suspension, in milliseconds. */
const SUSPENSION_MILLISECONDS = 100

/** Time from the last extension to the end of the first period in which leases may be extended without the store, in milliseconds. */
const LAST_EXTENSION_MARGIN_MILLISECONDS = 150

/** Shortest wait of a call for a completion while the store doesn't respond, in milliseconds: the store may be slow because this owner is short of processor time. */
const SHORTEST_WAIT_MILLISECONDS = 300

/** What was written at one time. */
interface WrittenRenewals {
  /** Epoch milliseconds. */
  readonly at: number
  /** Time of day, in epoch milliseconds. */
  readonly timeOfDay: number
  readonly workerClocks: readonly WorkerClock[]
}

/**
 * Keeps what this owner has written about the leases that it extends, and what it may do by that. Successors rely on it. The time of day is checked as well, because the
 * steady clock stands still while the VM is suspended.
 */
export class LeaseRenewalPermit {
  private readonly _inForce = new Notifier()
  private _isAnnounced = false
  /** The newest record, which the store may have executed without a response. */
  private _created: WrittenRenewals | null = null
  private _confirmed: WrittenRenewals | null = null
  private _wasGranted = true
  /** Least difference between the time of day and the steady clock since the last suspension. */
  private _clockDifference: number

  constructor (
    private readonly _term: number, private readonly _holder: TermHolder, private readonly _earlierOwners: Pick<EarlierOwners, 'renewals' | 'renewLeasesUntil'>, private readonly _workers: () => Pick<WorkerTable, 'find' | 'readClocks' | 'forgetClocks'>,
    private readonly _fleetTime: FleetTime, private readonly _clock: Clock, private readonly _log: DecisionLog
  ) {
    this._clockDifference = _clock.timeOfDay() - _clock.now()
  }

  /** Whether a record that this owner extends leases has been confirmed. */
  get isInForce (): boolean {
    return this._confirmed !== null
  }

  /** Whether leases may be extended now. */
  get isGranted (): boolean {
    const isGranted = this._isWithin(RENEWAL_GRACE_PERIOD.untilMilliseconds) || (this._isWithin(RENEWAL_GRACE_PERIOD.resumesUntilMilliseconds) && this._mayResume())
    if (isGranted !== this._wasGranted && this.isInForce) this._logChange(isGranted)
    return isGranted
  }

  /**
   * Returns for how long the next call to a worker with tasks may wait for a completion, in milliseconds, so that without the store a last extension is made just before the first period ends.
   *
   * @param longest what it may wait otherwise.
   */
  limitWait (longest: number): number {
    const untilLastExtension = this._confirmed ? this._confirmed.at + RENEWAL_GRACE_PERIOD.untilMilliseconds - LAST_EXTENSION_MARGIN_MILLISECONDS - this._clock.now() : 0
    return untilLastExtension > 0 ? Math.min(longest, Math.max(untilLastExtension, SHORTEST_WAIT_MILLISECONDS)) : this.limitWaitForResumption(longest)
  }

  /** Returns for how long the next call to any worker may wait, so that responses tell soon whether leases may be extended in the second period. */
  limitWaitForResumption (longest: number): number {
    if (!this._created) return longest
    const now = this._clock.now()
    const { at } = this._created
    const isNear = now > at + RENEWAL_GRACE_PERIOD.resumesAfterMilliseconds - longest && now < at + RENEWAL_GRACE_PERIOD.resumesUntilMilliseconds
    return isNear ? SHORTEST_WAIT_MILLISECONDS : longest
  }

  /** Lets the records from now on say that this owner extends leases. */
  announce (): void {
    this._isAnnounced = true
  }

  /**
   * Returns what a record written now says, or what the last owner that extended leases wrote.
   *
   * @param isLast whether this owner has stopped.
   */
  createRecord (isLast: boolean): LeaseRenewals | null {
    if (!this._isAnnounced) return this._earlierOwners.renewals
    const at = this._clock.now()
    const timeOfDay = this._clock.timeOfDay()
    if (timeOfDay - at > this._clockDifference + SUSPENSION_MILLISECONDS) {
      this._clockDifference = timeOfDay - at
      this._workers().forgetClocks(at)
    }
    this._clockDifference = Math.min(this._clockDifference, timeOfDay - at)
    const workerClocks = this._workers().readClocks(at)
    this._created = { at, timeOfDay, workerClocks }
    const end = (milliseconds: number): number => this._fleetTime.fromLocal(isLast ? at : at + milliseconds)
    return {
      term: this._term,
      holder: this._holder.name,
      process: this._holder.process,
      at: this._fleetTime.fromLocal(at),
      until: end(RENEWAL_GRACE_PERIOD.untilMilliseconds),
      resumesAfter: end(RENEWAL_GRACE_PERIOD.resumesAfterMilliseconds),
      resumesUntil: end(RENEWAL_GRACE_PERIOD.resumesUntilMilliseconds),
      resumesWith: resumptionQuorum(workerClocks.length),
      othersUntil: this._fleetTime.fromLocal(this._earlierOwners.renewLeasesUntil),
      workerClocks
    }
  }

  /** Records that the store has confirmed the newest record. */
  confirmRecord (): void {
    this._confirmed = this._created
    if (this.isInForce) this._inForce.notify()
  }

  /** Lets no lease be extended by the records so far, because this process's clock has stood still since. */
  revoke (): void {
    this._created = null
    this._confirmed = null
  }

  /** Resolves once a record that this owner extends leases has been confirmed, at `deadline` (epoch milliseconds), or when `signal` is aborted. */
  async untilInForce (deadline: number, signal: AbortSignal): Promise<void> {
    while (!this.isInForce && this._clock.now() < deadline && !signal.aborted) await this._inForce.wait(this._clock, deadline, signal)
  }

  /** Logs that this owner stops or resumes extending leases, by which record. */
  private _logChange (isGranted: boolean): void {
    this._wasGranted = isGranted
    this._log.emit(isGranted ? 'lease renewals resumed' : 'lease renewals paused', { term: this._term, writtenAt: Math.round(this._confirmed?.at ?? 0), newestAt: Math.round(this._created?.at ?? 0) })
  }

  private _isWithin (milliseconds: number): boolean {
    return this._confirmed !== null && this._clock.now() < this._confirmed.at + milliseconds && this._clock.timeOfDay() < this._confirmed.timeOfDay + milliseconds
  }

  /** A successor goes by either of the two records, whichever the store has executed last. */
  private _mayResume (): boolean {
    return this._created !== null && this._confirmed !== null && this._hasQuorum(this._created.workerClocks, this._created.at) && this._hasQuorum(this._confirmed.workerClocks, this._created.at)
  }

  private _hasQuorum (workerClocks: readonly WorkerClock[], writtenAt: number): boolean {
    const since = writtenAt + RENEWAL_GRACE_PERIOD.resumesAfterMilliseconds
    const responded = workerClocks.filter(({ worker: id, incarnation }) => {
      const worker = this._workers().find(id)
      return worker?.entry.incarnation === incarnation && worker.reportRequestedAt > since
    })
    return responded.length >= resumptionQuorum(workerClocks.length)
  }
}
