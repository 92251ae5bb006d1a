/**
 * The bounds on leases in the journal.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { JobTable } from '../jobs/job-table.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import { recordLongestLease } from './record-longest-lease.js'

/**
 * Age of the store's last confirmation of the term up to which a bound is written, in milliseconds. While the store is away it couldn't be withdrawn, and a worker that is
 * unreachable for a moment would lose its runs.
 */
const MAXIMUM_CONFIRMATION_AGE_MILLISECONDS = 1_000

/** Difference from which on a lower bound replaces the one in the journal, in milliseconds. */
const MINIMUM_REDUCTION_MILLISECONDS = 100

/**
 * Writes by when the leases of workers that can't be reached have expired. Otherwise each next owner would have to assume that this one has renewed them until
 * its end, and would wait for the longest lease anew. While the journal has a bound for a worker, none of its leases is extended, and none at all before
 * the bounds of the takeover are written: an owner that ends before then has not moved any expiry.
 */
export class LeaseBounds {
  private _areAdopted = false
  /** Workers whose response was overdue in the last round. */
  private _overdue: ReadonlySet<FleetWorker> = new Set()

  constructor (private readonly _jobTable: JobTable, private readonly _writer: DecisionWriterTask, private readonly _term: number, private readonly _fleetTime: FleetTime, private readonly _log: DecisionLog) {}

  /** Writes the bound for a worker, unless the journal has it, the worker has no tasks, or the store is away. No lease of the worker may be extended from then on. */
  record (worker: FleetWorker): void {
    if (!this._areAdopted || worker.tasks.size === 0 || !this._writer.isTermConfirmedWithin(MAXIMUM_CONFIRMATION_AGE_MILLISECONDS)) return
    if (worker.hasLeaseBound && !this._isOutdated(worker)) return
    this._write(worker)
  }

  /** Writes the bounds for workers whose response is overdue, since by the time that their calls fail this owner may have ended, and those that have become lower. Returns whether more responses are overdue than in the last round. */
  refresh (workers: Iterable<FleetWorker>, now: number): boolean {
    const known = [...workers]
    if (this._areAdopted) this._refreshLongest(known, now)
    const overdue = known.filter(worker => worker.hasLeaseBound || worker.isResponseOverdue(now))
    // A response may have arrived that this process, held up until now, reads before the next round.
    for (const worker of overdue) if (worker.hasLeaseBound || this._overdue.has(worker)) this.record(worker)
    const isAnyNew = overdue.some(worker => !this._overdue.has(worker))
    this._overdue = new Set(overdue)
    return isAnyNew
  }

  /** Withdraws the bound for a worker that has reported. Its leases may be extended once `hasLeaseBound` is false, when the journal has the withdrawal. */
  withdraw (worker: FleetWorker): void {
    if (!this._areAdopted || worker.isBoundWithdrawn) return
    const { entry: { id, incarnation } } = worker
    worker.isBoundWithdrawn = true
    this._writer.append({ kind: 'lease-bound-withdrawal', worker: id }, () => {
      // Another incarnation may have taken its place.
      if (worker.entry.incarnation === incarnation) worker.hasLeaseBound = false
    })
  }

  /**
   * Writes the bounds for the workers with tasks that have not reported yet, withdraws the other ones of earlier owners, and lets this owner extend leases
   * once the journal has that.
   */
  adopt (workers: Iterable<FleetWorker>): void {
    this._areAdopted = true
    const occupied = [...workers].filter(({ tasks }) => tasks.size > 0)
    const unheard = occupied.filter(({ lastReportAt }) => lastReportAt === 0)
    const unheardIds = new Set(unheard.map(({ entry: { id } }) => id))
    for (const id of [...this._jobTable.leaseBounds.workers]) if (!unheardIds.has(id)) this._writer.append({ kind: 'lease-bound-withdrawal', worker: id })
    for (const worker of occupied) if (worker.lastReportAt > 0) worker.hasLeaseBound = false
    for (const worker of unheard) {
      this._inheritSuccessor(worker)
      this._write(worker)
    }
    this._logInherited(occupied, unheard)
    this._writer.announceLeaseRenewals()
  }

  /** Writes the longest leases of workers that have restarted with runs, and removes those that have expired. */
  private _refreshLongest (workers: readonly FleetWorker[], now: number): void {
    for (const worker of workers) if (worker.tasks.size > 0) recordLongestLease(worker, now, this._writer, this._fleetTime, this._log)
    const expired = this._jobTable.longestLeases.expiredBy(now)
    if (expired.length === 0) return
    // A record of a later incarnation may be about to be written.
    const holding = new Set(workers.filter(({ formerOrders }) => formerOrders.leaseExpiresAt >= now).map(({ entry }) => entry.id))
    for (const worker of expired) {
      if (holding.has(worker)) continue
      this._jobTable.longestLeases.remove(worker)
      this._writer.append({ kind: 'longest-lease-end', worker })
    }
  }

  /** Whether the bound in the journal is later than it need be, or doesn't say yet that the worker refuses connections or has a successor. One that is being withdrawn isn't written again. */
  private _isOutdated ({ isBoundWithdrawn, boundExpiresAt, leaseExpiresAt, isRefusalRecorded, refusesConnections, isSuccessorRecorded, hasSuccessor }: FleetWorker): boolean {
    const isLower = leaseExpiresAt <= boundExpiresAt - MINIMUM_REDUCTION_MILLISECONDS
    return !isBoundWithdrawn && (isLower || (refusesConnections && !isRefusalRecorded) || (hasSuccessor && !isSuccessorRecorded))
  }

  /** The successor that an earlier owner has seen may have left since. */
  private _inheritSuccessor (worker: FleetWorker): void {
    const bound = this._jobTable.leaseBounds.of(worker.entry.id)
    if (!bound?.hasSuccessor || bound.incarnation !== worker.entry.incarnation) return
    worker.refusesConnections = true
    worker.hasSuccessor = true
  }

  private _write (worker: FleetWorker): void {
    const { entry: { id, incarnation, address }, leaseExpiresAt, runsExpireAt, lastReportAt, refusesConnections, hasSuccessor } = worker
    worker.hasLeaseBound = true
    worker.isBoundWithdrawn = false
    worker.boundExpiresAt = leaseExpiresAt
    worker.isRefusalRecorded = refusesConnections
    worker.isSuccessorRecorded = hasSuccessor
    if (lastReportAt > 0) this._log.emit('lease bound recorded', { worker: id, incarnation, runs: worker.tasks.size, heardAt: Math.round(lastReportAt), expiresAt: Math.round(leaseExpiresAt), startsExpireAt: Math.round(runsExpireAt) })
    this._writer.append({ kind: 'lease-bound', worker: id, incarnation, term: this._term, at: this._fleetTime.now(), expiresAt: this._fleetTime.fromLocal(leaseExpiresAt), startsExpireAt: this._fleetTime.fromLocal(runsExpireAt), address, refusesConnections, hasSuccessor })
  }

  /** Logs by when the leases of the workers that have not reported yet have expired, and how many of their runs wait for that even if the platform shows the worker's end. */
  private _logInherited (occupied: readonly FleetWorker[], unheard: readonly FleetWorker[]): void {
    const runs = unheard.flatMap(({ tasks }) => [...tasks])
    const expiries = unheard.map(({ runsExpireAt }) => Math.round(runsExpireAt)).sort((left, right) => left - right)
    this._log.emit('leases inherited', {
      workers: occupied.length,
      unheard: unheard.length,
      unlisted: unheard.filter(({ isListed }) => !isListed).length,
      runs: runs.length,
      unknownStarts: runs.length - unheard.flatMap(({ startedTasks }) => startedTasks).length,
      firstExpiresAt: expiries[0] ?? null,
      lastExpiresAt: expiries.at(-1) ?? null
    })
  }
}
