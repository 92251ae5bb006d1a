/**
 * The owners of earlier terms, from the view of the next one.
 */
import type { JobTable } from '../jobs/job-table.js'
import { RENEWAL_GRACE_PERIOD_MILLISECONDS } from '../jobs/renewal-grace-period.js'
import type { Term } from '../jobs/term.js'

/**
 * Knows until when earlier owners may renew leases. An owner that has lost the store goes on for a while, unless it has released its term or its process has
 * ended. Each owner says in its term's records until when those before it may, so that a new owner need only know the last one.
 */
export class EarlierOwners {
  /**
   * @param previous the term before the claim.
   * @param lastContactAt epoch milliseconds before which its holder wrote its last record.
   * @param _claimedAt epoch milliseconds of the claim.
   */
  constructor (private readonly _jobTable: JobTable, readonly previous: Term, readonly lastContactAt: number, private readonly _claimedAt: number) {}

  /** Epoch milliseconds until which any of them may have renewed leases. It becomes earlier when the last one's process turns out to have ended. */
  get renewLeasesUntil (): number {
    const { number, holder, process, isReleased, othersRenewUntil } = this.previous
    if (number === 0) return this._claimedAt
    const lastRenewalAt = isReleased ? this._claimedAt : Math.min(this.lastContactAt + RENEWAL_GRACE_PERIOD_MILLISECONDS, this._jobTable.holderEndedAt(process, holder))
    return Math.max(lastRenewalAt, othersRenewUntil)
  }
}
