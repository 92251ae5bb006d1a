/**
 * The leases that a new owner inherits.
 */
import { WORKER_CLOCK_RATE } from '../jobs/worker-clock-rate.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { EarlierOwners } from '../ownership/earlier-owners.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import type { Clock } from '../supervision/clock.js'

/**
 * Allows for the time that a worker takes to kill its runs, and for the drift of its clock since the report by which an owner set the lease. Orders in flight extend no
 * lease of the incarnation that they are meant for, because its deadline is set on the worker's clock when they are sent.
 */
const EXPIRY_MARGIN_MILLISECONDS = 300

/** Reduction from which on a new expiry is logged, in milliseconds. */
const LOGGED_REDUCTION_MILLISECONDS = 500

/** Knows by when leases that earlier owners requested have expired, as far as workers' responses show by now. */
export class InheritedLeases {
  private _expireAt: number
  private _loggedExpireAt: number
  private _previousWrittenBefore: number
  private _isResumptionLogged = false

  /**
   * @param _leaseMilliseconds length of a lease, the same in all processes of a fleet, since each owner relies on it.
   * @param limits longest lease that a worker accepts, and longest time from a call without a response until it may be carried out.
   * @param _earlierOwners owners whose leases may not have expired.
   */
  constructor (private readonly _leaseMilliseconds: number, readonly limits: Pick<FleetTimings, 'maximumLeaseMilliseconds' | 'maximumCallDelayMilliseconds'>, private readonly _earlierOwners: EarlierOwners, private readonly _clock: Clock, private readonly _log: DecisionLog) {
    this._expireAt = _earlierOwners.renewLeasesUntil + this._longestLeaseMilliseconds
    this._loggedExpireAt = this._expireAt
    this._previousWrittenBefore = _earlierOwners.writtenBefore
  }

  /** Epoch milliseconds by which all leases requested so far, by any owner, have expired. */
  get allExpireAt (): number {
    return Math.max(this._expireAt, this._clock.now() + this._longestLeaseMilliseconds)
  }

  /** Epoch milliseconds by which no start of an earlier owner is on its way any more. */
  get startsOverAt (): number {
    return this._earlierOwners.claimedAt + this.limits.maximumCallDelayMilliseconds
  }

  private get _longestLeaseMilliseconds (): number {
    return this._leaseMilliseconds / WORKER_CLOCK_RATE.slowest + EXPIRY_MARGIN_MILLISECONDS
  }

  /** Returns the epoch milliseconds by which leases of an incarnation of a worker have expired: when the journal says so, or after the longest that there may be. */
  expiryOf (worker: string, incarnation: number): number {
    return Math.min(this._expireAt, this._earlierOwners.leaseBound(worker, incarnation) ?? Infinity)
  }

  /** Returns the epoch milliseconds by which leases have expired that unsettled starts of earlier owners may have set on the next incarnation of a worker. */
  startsExpiryOf (worker: string): number {
    return Math.max(this.startsOverAt + this.limits.maximumLeaseMilliseconds / WORKER_CLOCK_RATE.slowest + EXPIRY_MARGIN_MILLISECONDS, this._earlierOwners.startsBound(worker))
  }

  /** Applies what has become known of earlier owners. Returns whether any lease may have turned out to expire earlier. */
  refresh (): boolean {
    this._logResumption()
    const { renewLeasesUntil, writtenBefore } = this._earlierOwners
    const expireAt = renewLeasesUntil + this._longestLeaseMilliseconds
    if (expireAt >= this._expireAt && writtenBefore >= this._previousWrittenBefore) return false
    this._expireAt = Math.min(expireAt, this._expireAt)
    this._previousWrittenBefore = writtenBefore
    if (this._expireAt <= this._loggedExpireAt - LOGGED_REDUCTION_MILLISECONDS) this._logExpiry()
    return true
  }

  private _logExpiry (): void {
    this._loggedExpireAt = this._expireAt
    const { isResumptionExcluded, workersFencedInTime, writtenBefore } = this._earlierOwners
    this._log.emit('inherited leases reduced', { expireAt: Math.round(this._expireAt), previousWrittenBefore: Math.round(writtenBefore), isResumptionExcluded, accepted: workersFencedInTime })
  }

  /** Logs once that too few of the named workers have accepted a call in time to exclude that the last owner resumes. */
  private _logResumption (): void {
    const { isResumptionExcluded, resumesAfter, namedWorkers, workersFencedInTime } = this._earlierOwners
    if (this._isResumptionLogged || isResumptionExcluded || this._clock.now() < resumesAfter) return
    this._isResumptionLogged = true
    this._log.emit('previous owner may have resumed', {
      expireAt: Math.round(this._expireAt),
      accepted: workersFencedInTime,
      silent: namedWorkers.filter(worker => !workersFencedInTime.includes(worker))
    })
  }
}
