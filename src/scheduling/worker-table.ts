/**
 * The workers that the owner knows of.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import { FleetWorker } from './fleet-worker.js'
import type { LeaseTerms } from './lease-durations.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { WorkerEntry } from './worker-entry.js'

/** A worker's clock may be slow by this share, so that leases of earlier terms may last so much longer. */
const SLOWEST_CLOCK = 0.98

/** Allowance for orders of an earlier term that are still on their way, in milliseconds. */
const IN_FLIGHT_MILLISECONDS = 500

/** Age of a worker's last report beyond which it gets nothing new, in milliseconds: two holds without an answer. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 1_800

/** Workers that are listed, and those that may still run something. */
export class WorkerTable {
  private readonly _workers = new Map<string, FleetWorker>()
  private readonly _inheritedLeaseEnd: number

  /**
   * @param _lease what owners ask workers for.
   * @param extendingUntil epoch milliseconds until which the owner before may have extended leases.
   */
  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _lease: LeaseTerms, extendingUntil: number,
    private readonly _clock: Clock, private readonly _log: DecisionLog
  ) {
    this._inheritedLeaseEnd = extendingUntil + this._longestLease
  }

  /** All workers. */
  get all (): IterableIterator<FleetWorker> {
    return this._workers.values()
  }

  /** Epoch milliseconds by which leases asked for until now have lapsed, whoever asked. */
  get unknownLeaseEnd (): number {
    return Math.max(this._inheritedLeaseEnd, this._clock.now() + this._longestLease)
  }

  private get _longestLease (): number {
    return this._lease.milliseconds / SLOWEST_CLOCK + IN_FLIGHT_MILLISECONDS
  }

  /** A worker by id, or null. */
  find (id: string): FleetWorker | null {
    return this._workers.get(id) ?? null
  }

  /** Whether nothing that is planned keeps a worker from work: it stays, and so does its zone. */
  isSchedulable ({ entry, isListed, isCordoned: isClosing }: FleetWorker): boolean {
    return isListed && !entry.isDraining && !isClosing && !this._configuration.isZoneOut(entry.availabilityZone)
  }

  /** Whether a worker may be given something new. */
  isEligible (worker: FleetWorker, now: number): boolean {
    return this.isSchedulable(worker) && worker.avoidedUntil <= now && worker.leaseDeadline > 0 &&
      worker.lastReportAt > worker.doubtedSince && worker.lastReportAt >= now - MAXIMUM_REPORT_AGE_MILLISECONDS
  }

  /**
   * A worker left an order unanswered. If it hasn't been heard from since, it may be out of reach, and then most likely with all
   * of its rack: none of them gets anything new until it is heard from, which takes a second at most if all is well.
   *
   * @param since epoch milliseconds at which the order was sent.
   */
  doubt (worker: FleetWorker, since: number): void {
    if (worker.doubtedSince >= since || worker.lastReportAt > since) return
    const { rack, entry: { availabilityZone } } = worker
    const doubted = [...this.all].filter(other => other === worker || (rack !== '' && other.rack === rack && other.entry.availabilityZone === availabilityZone))
    for (const other of doubted) other.doubtedSince = Math.max(other.doubtedSince, since)
    this._log.emit('workers doubted', { worker: worker.entry.id, rack, since: Math.round(since), silent: doubted.filter(({ lastReportAt: heardAt }) => heardAt <= since).length })
  }

  /** Takes in an entry of a worker that isn't known yet, or of the incarnation that is. */
  list (entry: WorkerEntry): FleetWorker {
    const known = this._workers.get(entry.id)
    if (!known) return this._add(entry)
    if (known.entry.isDraining !== entry.isDraining) this._log.emit('worker drains', { worker: entry.id, isDraining: entry.isDraining, runs: known.tasks.size })
    known.entry = entry
    known.isListed = true
    return known
  }

  /** A worker's entry is gone. What runs there is given up when its lease has lapsed. */
  unlist (id: string): void {
    const worker = this._workers.get(id)
    if (!worker?.isListed) return
    worker.isListed = false
    this._log.emit('worker unlisted', { worker: id, runs: worker.tasks.size, heardAt: worker.lastReportAt })
  }

  /** Drops a worker that runs nothing any more. */
  forget (worker: FleetWorker): void {
    if (worker.tasks.size === 0) this._workers.delete(worker.entry.id)
  }

  /** The worker of a run that an earlier term placed; one that isn't listed stands in until its lease has lapsed. */
  placeholder (task: ScheduledTask): FleetWorker {
    const known = this._workers.get(task.workerId)
    if (known) return known
    const worker = new FleetWorker({
      id: task.workerId, incarnation: task.incarnation, pool: '', address: '', availabilityZone: '', capacity: task.reservation, labels: [], isDraining: false
    }, this.unknownLeaseEnd)
    worker.isListed = false
    this._workers.set(task.workerId, worker)
    return worker
  }

  private _add (entry: WorkerEntry): FleetWorker {
    const worker = new FleetWorker(entry, this.unknownLeaseEnd)
    worker.firstSeenAt = this._clock.now()
    this._workers.set(entry.id, worker)
    this._log.emit('worker listed', { worker: entry.id, pool: entry.pool, availabilityZone: entry.availabilityZone, incarnation: entry.incarnation })
    return worker
  }
}
