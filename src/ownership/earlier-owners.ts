/**
 * The owners of earlier terms, from the view of the next one.
 */
import type { JobTable } from '../jobs/job-table.js'
import type { LeaseRenewals } from '../jobs/lease-renewals.js'
import type { Term } from '../jobs/term.js'
import { WORKER_CLOCK_RATE } from '../jobs/worker-clock-rate.js'

/** Allows for the drift between the clocks of two owners, in milliseconds. */
const RESUMPTION_MARGIN_MILLISECONDS = 100

/**
 * Knows until when earlier owners may extend leases. The last one that did has written until when it and those before it may, counted from when it wrote that. This process only
 * knows when it has read it, unless the clocks of workers that respond to it show that more time has passed. They also show whether these workers have seen this
 * term's token so soon that the last owner can't have resumed.
 */
export class EarlierOwners {
  private readonly _renewals: LeaseRenewals | null
  /** Epoch milliseconds before which it was written. */
  private _writtenBefore: number
  /** Workers that refuse the last owner's calls from before it may resume. */
  private readonly _fencedInTime = new Set<string>()

  /**
   * @param previous the term before the claim.
   * @param lastContactAt epoch milliseconds before which its holder wrote its last record.
   * @param claimedAt epoch milliseconds of the claim, since when they can't decide on anything.
   */
  constructor (private readonly _jobTable: JobTable, readonly previous: Term, readonly lastContactAt: number, readonly claimedAt: number) {
    this._renewals = previous.renewals
    this._writtenBefore = previous.renewalsReadAt
  }

  /** Epoch milliseconds until which any of them may have extended leases. It becomes earlier with what workers show, or when the last one's process turns out to have ended. */
  get renewLeasesUntil (): number {
    if (!this._renewals) return this.claimedAt
    const { process, holder, until, resumesUntil, othersUntil } = this._renewals
    const ownUntil = this.isResumptionExcluded ? until : Math.max(until, resumesUntil)
    return Math.max(Math.min(this._toLocal(ownUntil), this._jobTable.holderEndedAt(process, holder)), this._toLocal(othersUntil))
  }

  /** Epoch milliseconds before which the last owner wrote until when it extends leases. It becomes earlier with what workers show. */
  get writtenBefore (): number {
    return this._writtenBefore
  }

  /** What the last owner that extended leases has written about that, and is known by now. */
  get renewals (): LeaseRenewals | null {
    return this._renewals && this.isResumptionExcluded ? { ...this._renewals, resumesUntil: this._renewals.at } : this._renewals
  }

  /** Whether too few of the workers that the last owner names may still have responded to it by the time that it needs them to resume. */
  get isResumptionExcluded (): boolean {
    const count = this._renewals?.workerClocks.length ?? 0
    const quorum = this._renewals?.resumesWith ?? Math.floor(count / 2) + 1
    return count - this._fencedInTime.size < quorum
  }

  /** Latest epoch milliseconds from which on workers' responses can't exclude any more that the last owner resumes. */
  get resumesAfter (): number {
    return this._toLocal(this._renewals?.resumesAfter ?? 0)
  }

  /** IDs of the workers that the last owner names. */
  get namedWorkers (): readonly string[] {
    return this._renewals?.workerClocks.map(({ worker }) => worker) ?? []
  }

  /** IDs of those that refuse its calls from before it may resume. */
  get workersFencedInTime (): readonly string[] {
    return [...this._fencedInTime]
  }

  /**
   * Returns the epoch milliseconds by which all leases of an incarnation of a worker have expired according to the journal, or null if it has no bound that
   * was written since an owner last extended leases.
   */
  leaseBound (worker: string, incarnation: number): number | null {
    const bound = this._jobTable.leaseBounds.of(worker)
    const renewingTerm = this._renewals?.term ?? 0
    if (bound?.incarnation !== incarnation || bound.term < renewingTerm) return null
    // Times of different owners don't compare: each may have set the fleet time anew.
    return bound.term === renewingTerm ? Math.min(bound.expiresAtLatest, this._toLocal(bound.expiresAt)) : bound.expiresAtLatest
  }

  /** Returns the epoch milliseconds by which runs whose start is unsettled have expired, in whichever incarnation, according to the bound on the leases of a worker; 0 without such a bound. */
  startsBound (worker: string): number {
    return this._jobTable.leaseBounds.of(worker)?.startsExpireAtLatest ?? 0
  }

  /** Returns the epoch milliseconds by which a lease has expired that was longer than any owner asked for, as far as earlier owners knew of one on an incarnation of a worker; null if they didn't. */
  longestLeaseExpiry (worker: string, incarnation: number): number | null {
    const lease = this._jobTable.longestLeases.of(worker)
    return lease?.incarnation === incarnation ? lease.expiresAtLatest : null
  }

  /** Returns what the journal says of a worker that earlier owners couldn't reach, and whose entry the registry may no longer have. */
  unreachableWorker (worker: string, incarnation: number): { readonly address: string, readonly refusesConnections: boolean } {
    const bound = this._jobTable.leaseBounds.of(worker)
    return bound?.incarnation === incarnation ? bound : { address: '', refusesConnections: false }
  }

  /**
   * Applies the clock of a worker that has accepted a call under the present term.
   *
   * @returns whether it shows that the last owner doesn't resume, as was unknown before.
   */
  compareClock (worker: string, incarnation: number, clock: number, now: number): boolean {
    const reading = this._renewals?.workerClocks.find(other => other.worker === worker && other.incarnation === incarnation)
    if (!this._renewals || !reading) return false
    const wasExcluded = this.isResumptionExcluded
    this._writtenBefore = Math.min(this._writtenBefore, now - (clock - reading.latest) / WORKER_CLOCK_RATE.fastest)
    const longestAge = (clock - reading.earliest) / WORKER_CLOCK_RATE.slowest
    if (longestAge < this._renewals.resumesAfter - this._renewals.at - RESUMPTION_MARGIN_MILLISECONDS) this._fencedInTime.add(worker)
    return this.isResumptionExcluded && !wasExcluded
  }

  /** Latest epoch milliseconds of a time that the last owner has written. */
  private _toLocal (time: number): number {
    return this._writtenBefore + Math.max(0, time - (this._renewals?.at ?? time))
  }
}
