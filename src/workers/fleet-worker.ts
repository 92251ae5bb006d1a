/**
 * The owner's view of a worker.
 */
import { WORKER_CLOCK_RATE } from '../jobs/worker-clock-rate.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import { INITIAL_HEALTH } from '../worker-health/initial-health.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { TaskRun } from '../scheduling/task-run.js'
import { LEASE_EXPIRY_MARGIN_MILLISECONDS } from './lease-expiry-margin.js'
import { WorkerClockEstimate } from '../workers/worker-clock-estimate.js'
import type { WorkerEntry } from '../workers/worker-entry.js'
import { WorkerStarts } from './worker-starts.js'

/** Reservations, clock and lease of a worker in its current incarnation. */
export class FleetWorker extends WorkerStarts {
  override entry: WorkerEntry
  /** Whether the registry has shown the entry of the present incarnation. */
  isEntryCurrent = true
  /** Whether the registry currently lists the worker. */
  isListed = true
  /** Epoch milliseconds at which this term first saw the registry entry; 0 for a placeholder. */
  firstSeenAt = 0
  /** Whether the worker has reported runs that no placement accounts for, so that more of its resources are in use than are reserved. */
  hasOrphanedRuns = false
  /** Number of runs and completions in the last report that could not be decoded. */
  unreadableRows = 0
  /** Whether the worker gets nothing new because its VM is needed for maintenance or a move. */
  isCordoned = false
  /** Epoch milliseconds until which the worker gets nothing new after a refused order. */
  cooldownUntil = 0
  /** What the history of its VM says of it; set by `WorkerHealthTask`. */
  health = INITIAL_HEALTH
  /** Epoch milliseconds until which other workers go before it, because a start got no response or runs failed in a row. */
  avoidedUntil = 0
  /** Run completions up to this sequence number are in the journal. */
  acknowledgedSequence = 0
  /** Up to this one the worker has answered a call that acknowledged them; another call might reach the next incarnation, whose completions have the same numbers. */
  answeredSequence = 0
  /** Run completions up to this sequence number have been applied to the schedule. */
  appliedSequence = 0
  /** Whether the journal has, or is about to have, a bound on its leases: none is extended. */
  hasLeaseBound = false
  /** Epoch milliseconds by which its leases have expired according to that bound. */
  boundExpiresAt = 0
  /** Whether its withdrawal has been decided on. */
  isBoundWithdrawn = false
  /** Whether that bound says that the worker refuses connections, and that it has a successor. */
  isRefusalRecorded = false
  isSuccessorRecorded = false
  /** What its clock shows, for the owners after this one. */
  readonly clockEstimate = new WorkerClockEstimate()
  /** Lower bound on the worker's clock at `lastReportAt`. */
  private _workerClockAtReport = 0
  /** Epoch milliseconds at which that report was requested. */
  private _reportRequestedAt = 0
  /** Latest lease deadline that may have reached the worker, on the worker's clock. */
  private _leaseDeadline = 0
  /** Whether other owners may have renewed leases of this incarnation. */
  private _hasInheritedLeases = true

  /**
   * @param _unknownLeasesExpireAt epoch milliseconds by which leases requested by other owners have expired.
   * @param inheritedStartsOverAt epoch milliseconds by which no start of theirs is on its way any more.
   * @param limits longest lease that a worker accepts, on its own clock, and longest time from a call without a response until it may be carried out.
   */
  constructor (entry: WorkerEntry, private _unknownLeasesExpireAt: number, inheritedStartsOverAt: number, limits: Pick<FleetTimings, 'maximumLeaseMilliseconds' | 'maximumCallDelayMilliseconds'>) {
    super(inheritedStartsOverAt, limits)
    this.entry = entry
  }

  /** Rack of the worker: the second label, after the kind of VM; empty if unknown. */
  get rack (): string {
    return this.entry.labels[1] ?? ''
  }

  /** Whether the worker's end is planned: it is shutting down, or its VM is about to be moved or maintained. */
  get isLeaving (): boolean {
    return this.entry.isDraining || this.isCordoned
  }

  /** Latest lease deadline sent to the worker, on the worker's clock. */
  get leaseDeadline (): number {
    return this._leaseDeadline
  }

  /** Whether a call has been answered or has failed, or there is none to make: before that, the worker may have completions to report whose runs must not start again. */
  get hasBeenTried (): boolean {
    return !this.isListed || this.lastReportAt > 0 || this.unreachableSince > 0
  }

  /** Tasks whose runs have started, and so end with the incarnation. */
  get startedTasks (): ScheduledTask[] {
    return [...this.tasks].filter(({ isStarted }) => isStarted)
  }

  /**
   * Records the time of a report, on the worker's clock and on the owner's.
   *
   * @param requestedAt epoch milliseconds at which it was requested; the worker's clock was read after that.
   */
  recordReport (workerClock: number, now: number, requestedAt: number): void {
    this._workerClockAtReport = workerClock
    this._reportRequestedAt = requestedAt
    this.clockEstimate.record(workerClock, requestedAt, now)
    this.lastReportAt = now
    this.isRestartSuspected = false
    this.clearFailedCalls()
  }

  /** Epoch milliseconds at which the last report was requested; 0 if this incarnation has not reported. */
  get reportRequestedAt (): number {
    return this._reportRequestedAt
  }

  /**
   * Switches to a new incarnation and resets the clock, lease and sequence numbers of the previous one.
   *
   * @param now epoch milliseconds.
   * @param unknownLeasesExpireAt epoch milliseconds by which any lease that orders to the previous incarnation may have extended has expired, unless they reached this one.
   */
  startIncarnation (incarnation: number, now: number, unknownLeasesExpireAt: number): void {
    this._unknownLeasesExpireAt = unknownLeasesExpireAt
    this.entry = { ...this.entry, incarnation }
    this.incarnationKnownAt = now
    this.isEntryCurrent = false
    this.hasOrphanedRuns = false
    this.forgetTokens(now)
    this._hasInheritedLeases = false
    this._leaseDeadline = 0
    this._workerClockAtReport = 0
    this._reportRequestedAt = 0
    this.clockEstimate.reset(0)
    this.lastReportAt = 0
    this.acknowledgedSequence = 0
    this.answeredSequence = 0
    this.appliedSequence = 0
    this.hasLeaseBound = false
    this.isBoundWithdrawn = false
    this.responseOverdueAt = Infinity
    this.isRestartSuspected = false
    this.isReplaced = false
    this.clearFailedCalls()
    this.endCall()
  }

  /** Lowers the time by which leases requested by other owners have expired, in epoch milliseconds. */
  limitInheritedLeases (expireAt: number): void {
    if (this._hasInheritedLeases) this._unknownLeasesExpireAt = Math.min(this._unknownLeasesExpireAt, expireAt)
  }

  /** Extends the lease deadline to be requested and returns it, on the worker's clock; null while that clock is unknown. */
  extendLeaseDeadline (now: number, leaseMilliseconds: number): number | null {
    if (this.lastReportAt === 0) return null
    this._leaseDeadline = Math.max(this._leaseDeadline, this._workerClockAtReport + (now - this.lastReportAt) + leaseMilliseconds)
    return this._leaseDeadline
  }

  /** Epoch milliseconds by which all runs on the worker have ended unless the lease is renewed. */
  get leaseExpiresAt (): number {
    return Math.max(...Object.values(this._leaseExpiries))
  }

  /** What decides `leaseExpiresAt`: the lease that this owner requested, one that others may have, or one that an order for the former incarnation or a late start may have set. */
  get leaseBasis (): 'requested' | 'unknown' | 'former order' | 'late start' {
    const { requested, unknown, formerOrder, lateStart } = this._leaseExpiries
    if (requested >= Math.max(unknown, formerOrder, lateStart)) return 'requested'
    if (unknown >= Math.max(formerOrder, lateStart)) return 'unknown'
    return formerOrder >= lateStart ? 'former order' : 'late start'
  }

  /** Epoch milliseconds by which the leases have expired that the worker may have, by who set them. */
  private get _leaseExpiries (): { readonly requested: number, readonly unknown: number, readonly formerOrder: number, readonly lateStart: number } {
    const isHeard = this.lastReportAt > 0
    return {
      requested: isHeard ? this.lastReportAt + Math.max(0, this._leaseDeadline - this._workerClockAtReport) / WORKER_CLOCK_RATE.slowest + LEASE_EXPIRY_MARGIN_MILLISECONDS : 0,
      unknown: this._unknownLeasesExpireAt,
      formerOrder: this.formerOrders.leaseExpiresAt,
      lateStart: !isHeard || this.unsettledRuns.size > 0 ? this.lateLeaseExpiresAt : 0
    }
  }

  /**
   * Epoch milliseconds by which a run has ended unless the lease is renewed, whichever incarnation it is on. A start without a response may be carried out late by an incarnation that sets its
   * longest lease, unless the present one has seen a higher fencing token.
   */
  expiryOf (run: TaskRun): number {
    if (run.mayBeginLate) return this.refusesStartOf(run) ? this.leaseExpiresAt : Math.max(this.leaseExpiresAt, this.lateStartExpiresAt(run))
    return run.evidenceFrom === 0 ? this.leaseExpiresAt : Math.max(this.leaseExpiresAt, this.longestLeaseExpiresAt(this.ordersOverAt))
  }

  /** Epoch milliseconds by which that holds for all runs, also for those whose start is unsettled. */
  get runsExpireAt (): number {
    return Math.max(this.leaseExpiresAt, ...[...this.tasks].map(run => this.expiryOf(run)))
  }
}
