/**
 * The workers that the owner knows, in memory.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { Resources } from '../jobs/resources.js'
import type { WorkerClock } from '../jobs/worker-clock.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { EarlierOwners } from '../ownership/earlier-owners.js'
import type { Clock } from '../supervision/clock.js'
import { chooseSpreadWorkers } from './choose-spread-workers.js'
import { FleetWorker } from './fleet-worker.js'
import type { InheritedLeases } from '../leases/inherited-leases.js'
import type { WorkerEntry } from '../workers/worker-entry.js'

/** Limit on the clocks of workers in a term's record; most of them must remain when a rack, a pool or an availability zone is lost. */
const MAXIMUM_CLOCKS = 15

/** Age of a report up to which its clock is taken, in milliseconds. */
const MAXIMUM_CLOCK_AGE_MILLISECONDS = 2_500

/** Age of the registry's view above which a capacity may have shrunk without notice, in milliseconds. */
const MAXIMUM_CAPACITY_AGE_MILLISECONDS = 2_000

/** Allows for the difference between the times of day of a worker and of this process, in milliseconds. */
const MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS = 3_000

/** Listed workers, and unlisted ones that may still run something. */
export class WorkerTable {
  private readonly _workers = new Map<string, FleetWorker>()
  /** IDs of cordoned workers, also of those that have been forgotten and may be listed again. */
  private readonly _cordonedIds = new Set<string>()

  /**
   * @param _earlierOwners owners whose leases may not have expired.
   * @param _onEarlierOwnersKnown called when it has become known that the last of them doesn't resume, so that the journal can say so.
   * @param _onClockStoodStill called when a worker's clock shows that this process's own has stood still.
   * @param _registryFreshAt returns the epoch milliseconds as of which the registry is known.
   */
  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _inheritedLeases: InheritedLeases, private readonly _earlierOwners: EarlierOwners,
    private readonly _onEarlierOwnersKnown: () => void, private readonly _onClockStoodStill: () => void, private readonly _registryFreshAt: () => number, private readonly _clock: Clock, private readonly _log: DecisionLog
  ) {}

  get all (): IterableIterator<FleetWorker> {
    return this._workers.values()
  }

  /** Epoch milliseconds by which no start of an earlier owner is on its way any more. */
  get inheritedStartsOverAt (): number {
    return this._inheritedLeases.startsOverAt
  }

  /** Epoch milliseconds by which all leases requested so far, by any owner, have expired. */
  get unknownLeasesExpireAt (): number {
    return this._inheritedLeases.allExpireAt
  }

  /** Applies what has become known of earlier owners: their leases may expire earlier than was assumed. */
  refreshInheritedLeases (): void {
    if (!this._inheritedLeases.refresh()) return
    for (const worker of this.all) worker.limitInheritedLeases(this._inheritedLeases.expiryOf(worker.entry.id, worker.entry.incarnation))
  }

  /** Records the time of a report, and what its clock shows of earlier owners. */
  recordReport (worker: FleetWorker, workerClock: number, requestedAt: number): void {
    const now = this._clock.now()
    if (worker.clockEstimate.isContradictedBy(workerClock, now)) {
      this.forgetClocks(now)
      this._onClockStoodStill()
    }
    worker.recordReport(workerClock, now, requestedAt)
    if (this._earlierOwners.compareClock(worker.entry.id, worker.entry.incarnation, workerClock, now)) this._onEarlierOwnersKnown()
  }

  /** Returns the clocks of some workers that have just reported and are likely to stay, spread over pools, racks and availability zones. */
  readClocks (now: number): WorkerClock[] {
    const recent = [...this.all].filter(({ lastReportAt, clockEstimate }) => lastReportAt > now - MAXIMUM_CLOCK_AGE_MILLISECONDS && clockEstimate.isKnown)
    const staying = recent.filter(({ isListed, isLeaving, unreachableSince }) => isListed && !isLeaving && unreachableSince === 0)
    return chooseSpreadWorkers(staying.length > 0 ? staying : recent, MAXIMUM_CLOCKS).map(({ entry: { id, incarnation }, clockEstimate }) => {
      const { earliest, latest } = clockEstimate.read(now)
      return { worker: id, incarnation, earliest: Math.floor(earliest), latest: Math.ceil(latest) }
    })
  }

  /** Forgets what is known of the workers' clocks: this process's own clock has stood still. */
  forgetClocks (now: number): void {
    this._log.emit('clock stood still', { workers: this._workers.size })
    for (const { clockEstimate } of this.all) clockEstimate.reset(now)
  }

  /** Returns a worker by its ID, or null. */
  find (id: string): FleetWorker | null {
    return this._workers.get(id) ?? null
  }

  /** Returns the workers that refuse connections and whose address a later worker names. */
  unreachableAtAddress ({ id, address, incarnation }: WorkerEntry): FleetWorker[] {
    return [...this.all].filter(({ entry, refusesConnections }) => refusesConnections && entry.address === address && entry.id !== id && entry.incarnation < incarnation)
  }

  /** Whether the configuration names the pool of an entry, or there is none yet: an entry of another pool isn't a worker's. */
  namesPool ({ pool }: WorkerEntry): boolean {
    return this._configuration.configuration === null || this._configuration.pool(pool) !== null
  }

  /** Returns whether nothing planned keeps a worker from new tasks: no shutdown, cordon or zone outage. */
  isSchedulable ({ entry, isListed, isCordoned }: FleetWorker): boolean {
    return isListed && !entry.isDraining && !isCordoned && !this._configuration.isZoneOut(entry.availabilityZone)
  }

  /**
   * Returns whether a start may be sent to a worker now: it is schedulable, the journal has no bound on its leases, which wouldn't cover the start, no order for its former incarnation can be carried out, and its capacity is known. Where workers don't refuse what exceeds their
   * capacity, a capacity that may have shrunk since counts as unknown.
   */
  mayStart (worker: FleetWorker, now: number): boolean {
    const isCapacityKnown = this._configuration.pool(worker.entry.pool)?.rejectsOverload === true || this._registryFreshAt() > now - MAXIMUM_CAPACITY_AGE_MILLISECONDS
    return this.isSchedulable(worker) && worker.isEntryCurrent && !worker.hasLeaseBound && !worker.formerOrders.arePossible(now) && isCapacityKnown
  }

  /** Returns whether new tasks may be placed on a worker now: it may be sent starts, and is reachable, under a lease and not in cooldown. */
  isEligible (worker: FleetWorker, now: number): boolean {
    return this.mayStart(worker, now) && worker.cooldownUntil <= now && !worker.hasOrphanedRuns && worker.leaseDeadline > 0 &&
      worker.lastReportAt > worker.suspectedSince && worker.reportDueAt >= now
  }

  /**
   * Marks a worker that did not respond to an order as suspect, unless it has sent a report since. If it is unreachable,
   * its whole rack probably is too, so no worker of the rack gets anything new before its next report, which takes
   * at most a second for a reachable worker.
   *
   * @param since epoch milliseconds at which the order was sent.
   */
  suspect (worker: FleetWorker, since: number): void {
    if (worker.suspectedSince >= since || worker.lastReportAt > since) return
    const { rack, entry: { availabilityZone } } = worker
    const suspected = [...this.all].filter(other => other === worker || (rack !== '' && other.rack === rack && other.entry.availabilityZone === availabilityZone))
    for (const other of suspected) other.suspectedSince = Math.max(other.suspectedSince, since)
    this._log.emit('workers suspected unreachable', { worker: worker.entry.id, rack, since: Math.round(since), silent: suspected.filter(({ lastReportAt }) => lastReportAt <= since).length })
  }

  /** Applies a registry entry of a new worker, or of the current incarnation of a known one. */
  applyEntry (entry: WorkerEntry): FleetWorker {
    const known = this._workers.get(entry.id)
    if (!known) return this._add(entry)
    if (known.entry.isDraining !== entry.isDraining) this._log.emit('worker drain state changed', { worker: entry.id, isDraining: entry.isDraining, runs: known.tasks.size })
    known.entry = entry
    known.isEntryCurrent = true
    known.isListed = true
    return known
  }

  /** Marks a worker as unlisted after the removal of its entry. Its runs are treated as lost once its lease has expired. */
  markUnlisted (id: string): void {
    const worker = this._workers.get(id)
    if (!worker?.isListed) return
    worker.isListed = false
    this._log.emit('worker unlisted', { worker: id, runs: worker.tasks.size, heardAt: worker.lastReportAt })
  }

  /** Keeps new tasks off the worker with an ID, also if it is listed only later, because its VM is about to be moved or maintained. */
  cordon (id: string): void {
    this._cordonedIds.add(id)
    const worker = this._workers.get(id)
    if (worker) worker.isCordoned = true
  }

  /** Undoes `cordon`. */
  liftCordon (id: string): void {
    this._cordonedIds.delete(id)
    const worker = this._workers.get(id)
    if (worker) worker.isCordoned = false
  }

  /** Removes a worker unless tasks are still placed on it or bound to it. */
  removeIfIdle (worker: FleetWorker): void {
    if (!worker.isNeeded) this._workers.delete(worker.entry.id)
  }

  /**
   * Returns the worker of a task placed under an earlier term, or of a start that an earlier owner has sent. If it is not listed, a placeholder keeps the task until its lease has expired.
   *
   * @param capacity capacity of a placeholder.
   */
  findOrAddPlaceholder (id: string, incarnation: number, capacity: Resources): FleetWorker {
    const known = this._workers.get(id)
    if (known) return known
    const { address, refusesConnections } = this._earlierOwners.unreachableWorker(id, incarnation)
    const worker = this._create({ id, incarnation, pool: '', address, availabilityZone: '', capacity, labels: [], isDraining: false })
    worker.isListed = false
    worker.refusesConnections = refusesConnections
    worker.hasSuccessor = refusesConnections && [...this.all].some(({ entry }) => entry.address === address && entry.incarnation > incarnation)
    this._workers.set(id, worker)
    return worker
  }

  /** Age up to which an order for a former incarnation may reach one, in milliseconds. */
  private get _youthMilliseconds (): number {
    return this._inheritedLeases.limits.maximumCallDelayMilliseconds + MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS
  }

  /** Applies to a worker, in an incarnation of which an earlier owner may have known, what the journal says of its longest lease, and whether there may be one of which it says nothing. */
  inheritFormerOrders (worker: FleetWorker): void {
    const { formerOrders, entry: { id, incarnation } } = worker
    const expiresAt = this._earlierOwners.longestLeaseExpiry(id, incarnation)
    formerOrders.inherit(expiresAt ?? 0)
    if (expiresAt !== null || this._earlierOwners.previous.number === 0) return
    const youngUntil = this._clock.now() - this._clock.timeOfDay() + incarnation + this._youthMilliseconds
    formerOrders.suspect(Math.min(youngUntil, this._inheritedLeases.startsOverAt))
  }

  /** Creates a worker with the leases that earlier owners may have requested. */
  private _create (entry: WorkerEntry): FleetWorker {
    const worker = new FleetWorker(entry, this._inheritedLeases.expiryOf(entry.id, entry.incarnation), this._inheritedLeases.startsOverAt, this._inheritedLeases.limits)
    worker.hasLeaseBound = this._earlierOwners.leaseBound(entry.id, entry.incarnation) !== null
    worker.inheritedStartsExpireAt = this._inheritedLeases.startsExpiryOf(entry.id)
    worker.boundExpiresAt = Infinity
    worker.isYoung = this._clock.timeOfDay() < entry.incarnation + this._youthMilliseconds
    worker.incarnationKnownAt = this._clock.now()
    this.inheritFormerOrders(worker)
    worker.isCordoned = this._cordonedIds.has(entry.id)
    return worker
  }

  private _add (entry: WorkerEntry): FleetWorker {
    const worker = this._create(entry)
    worker.firstSeenAt = this._clock.now()
    this._workers.set(entry.id, worker)
    this._log.emit('worker listed', { worker: entry.id, pool: entry.pool, availabilityZone: entry.availabilityZone, incarnation: entry.incarnation })
    return worker
  }
}
