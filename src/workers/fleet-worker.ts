/**
 * The owner's view of a worker.
 */
import { WORKER_CLOCK_RATE } from '../jobs/worker-clock-rate.js'
import { INITIAL_HEALTH } from '../worker-health/initial-health.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { TaskRun } from '../scheduling/task-run.js'
import type { WorkerClient } from '../workers/worker-client.js'
import { WorkerClockEstimate } from '../workers/worker-clock-estimate.js'
import type { WorkerEntry } from '../workers/worker-entry.js'
import { WorkerReservations } from '../workers/worker-reservations.js'

/** Allows for the time that a worker takes to kill its runs after its lease has expired. */
const LEASE_EXPIRY_MARGIN_MILLISECONDS = 150

/** Reason for giving up what waits for an incarnation. Node would otherwise create an error with a stack trace for each. */
const INCARNATION_ENDED = new Error('the worker has restarted')

/** Reservations, clock and lease of a worker in its current incarnation. */
export class FleetWorker extends WorkerReservations {
  override entry: WorkerEntry
  /** Whether the registry has shown the entry of the present incarnation. */
  isEntryCurrent = true
  /** Whether the registry currently lists the worker. */
  isListed = true
  /** Epoch milliseconds at which this term first saw the registry entry; 0 for a placeholder. */
  firstSeenAt = 0
  /** Epoch milliseconds by which this term knew of the present incarnation. */
  incarnationKnownAt = Infinity
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
  /** Epoch milliseconds since which the worker may be unreachable: it gets nothing new before a later report. */
  suspectedSince = 0
  /** Run completions up to this sequence number are in the journal. */
  acknowledgedSequence = 0
  /** Run completions up to this sequence number have been applied to the schedule. */
  appliedSequence = 0
  /**
   * Fencing tokens of the starts that got no response, by `TASK/RUN`. Until a call with a higher token or the stop of the run has been answered, the run may begin
   * for as long as the lease is extended.
   */
  readonly unsettledRuns = new Map<string, number>()
  /** Highest fencing token that the present incarnation is known to have seen: it carries out no order with a lower one. */
  private _confirmedToken = 0
  /** Epoch milliseconds of the last report; 0 before the first under this term. */
  lastReportAt = 0
  /** Epoch milliseconds by which the next report must have arrived; 0 after a failed call. Past it, the worker gets nothing new. */
  reportDueAt = 0
  /** Epoch milliseconds of the first failed call since the last report; 0 if none has failed. */
  unreachableSince = 0
  /** Epoch milliseconds of the last failed call, also if it has reported since; 0 if none has failed. */
  failedCallAt = 0
  /** Whether a response has come from another clock than the reports: the next incarnation is probably there, which nothing may be acknowledged to, and whose clock isn't known. */
  isRestartSuspected = false
  /** Whether a connection to the worker has been refused since the last report: nothing listens at its address, or a network device says so. */
  refusesConnections = false
  /** Whether the journal has, or is about to have, a bound on its leases: none is extended. */
  hasLeaseBound = false
  /** Epoch milliseconds by which its leases have expired according to that bound. */
  boundExpiresAt = 0
  /** Epoch milliseconds by which leases have expired that unsettled starts of earlier owners may have set on the next incarnation; 0 if the journal says nothing. */
  inheritedStartsExpireAt = 0
  /** Whether its withdrawal has been decided on. */
  isBoundWithdrawn = false
  /** Whether that bound says that the worker refuses connections, and that it has a successor. */
  isRefusalRecorded = false
  isSuccessorRecorded = false
  /** Epoch milliseconds from which on the response to the present call is late; Infinity while none is awaited. */
  responseOverdueAt = Infinity
  /** Whether another worker has named its address while it refused connections: unless it reports again, it has ended. */
  hasSuccessor = false
  /** What its clock shows, for the owners after this one. */
  readonly clockEstimate = new WorkerClockEstimate()
  /** Lower bound on the worker's clock at `lastReportAt`. */
  private _workerClockAtReport = 0
  /** Epoch milliseconds at which that report was requested. */
  private _reportRequestedAt = 0
  /** Latest lease deadline that may have reached the worker, on the worker's clock. */
  private _leaseDeadline = 0
  /** Client for calls to the worker; null for a placeholder and after its lease renewal has ended. */
  client: WorkerClient | null = null

  private _incarnationEnd = new AbortController()
  /** Whether other owners may have renewed leases of this incarnation. */
  private _hasInheritedLeases = true

  /**
   * @param _unknownLeasesExpireAt epoch milliseconds by which leases requested by other owners have expired.
   * @param _inheritedStartsOverAt epoch milliseconds by which no start of theirs is on its way any more.
   * @param _maximumLeaseMilliseconds longest lease that a worker accepts, on its own clock.
   */
  constructor (entry: WorkerEntry, private _unknownLeasesExpireAt: number, private readonly _inheritedStartsOverAt: number, private readonly _maximumLeaseMilliseconds: number) {
    super()
    this.entry = entry
  }

  /** Aborted when the worker has restarted, as far as is known, or has probably done so. */
  get incarnationSignal (): AbortSignal {
    return this._incarnationEnd.signal
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

  /** Whether the worker doesn't respond: a call has failed since its last report, or there is nowhere to call it. */
  get isSilent (): boolean {
    return this.unreachableSince > 0 || (this.client === null && this.lastReportAt === 0)
  }

  /** Tasks whose runs have started, and so end with the incarnation. */
  get startedTasks (): ScheduledTask[] {
    return [...this.tasks].filter(({ isStarted }) => isStarted)
  }

  /**
   * Returns the tasks whose runs are over if the incarnation has ended. A start that is still on its way may be carried out by the next incarnation under the ID: such tasks
   * keep their reservation until that incarnation reports, the start is over, or the lease has expired.
   */
  tasksOverWithIncarnation (now: number): ScheduledTask[] {
    return [...this.tasks].filter(({ isStarted, isConfirmed, runState }) => isStarted || isConfirmed || (runState === 'inherited' && now >= this._inheritedStartsOverAt))
  }

  /** Whether its lease serves no run but such of which the start is unsettled: once it has expired, none of them runs or begins. */
  get hasOnlyUnsettledRuns (): boolean {
    return this.unsettledRuns.size + this.tasks.size > 0 && [...this.tasks].every(({ runState }) => runState === 'settling')
  }

  /** Whether the worker may not have seen the token that is in force, so that it may carry out orders with a lower one. */
  get isFenceUnconfirmed (): boolean {
    return this.client !== null && this.client.fence.token > this._confirmedToken
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
    this._clearFailedCalls()
  }

  /** Ends the present call, which the previous incarnation won't answer, and keeps new tasks away until the next report. */
  suspectRestart (now: number): void {
    this.isRestartSuspected = true
    this.suspectedSince = Math.max(this.suspectedSince, now)
    this._endCall()
  }

  /** Records that the worker has answered a call with a fencing token. */
  confirmToken (token: number): void {
    this._confirmedToken = Math.max(this._confirmedToken, token)
    for (const [run, startToken] of this.unsettledRuns) if (startToken < token) this.unsettledRuns.delete(run)
  }

  /** Returns whether the response to the present call is late, so that it may not come. */
  isResponseOverdue (now: number): boolean {
    return now >= this.responseOverdueAt && this.tasks.size > 0
  }

  /** Epoch milliseconds at which the last report was requested; 0 if this incarnation has not reported. */
  get reportRequestedAt (): number {
    return this._reportRequestedAt
  }

  /** Records a failed call. */
  recordFailedCall (isConnectionRefused: boolean, now: number): void {
    this.failedCallAt = now
    if (this.unreachableSince === 0) this.unreachableSince = now
    if (isConnectionRefused) this.refusesConnections = true
  }

  /**
   * Switches to a new incarnation and resets the clock, lease and sequence numbers of the previous one.
   *
   * @param now epoch milliseconds.
   * @param unknownLeasesExpireAt epoch milliseconds by which any lease that orders to the previous incarnation may have extended has expired, but for the starts of the tasks that stay.
   */
  startIncarnation (incarnation: number, now: number, unknownLeasesExpireAt: number): void {
    // Their deadlines are on the clock of the previous incarnation, which says nothing on that of this one.
    this._unknownLeasesExpireAt = Math.max(unknownLeasesExpireAt, ...[...this.tasks].map(run => this._startLeaseExpiresAt(run)))
    this.entry = { ...this.entry, incarnation }
    this.incarnationKnownAt = now
    this.isEntryCurrent = false
    this.hasOrphanedRuns = false
    this.unsettledRuns.clear()
    this._confirmedToken = 0
    this._hasInheritedLeases = false
    this._leaseDeadline = 0
    this._workerClockAtReport = 0
    this._reportRequestedAt = 0
    this.clockEstimate.reset(0)
    this.lastReportAt = 0
    this.acknowledgedSequence = 0
    this.appliedSequence = 0
    this.hasLeaseBound = false
    this.isBoundWithdrawn = false
    this.responseOverdueAt = Infinity
    this.isRestartSuspected = false
    this._clearFailedCalls()
    this._endCall()
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
    if (this.lastReportAt === 0) return this._unknownLeasesExpireAt
    const ownLeaseExpiresAt = this.lastReportAt + Math.max(0, this._leaseDeadline - this._workerClockAtReport) / WORKER_CLOCK_RATE.slowest + LEASE_EXPIRY_MARGIN_MILLISECONDS
    return Math.max(ownLeaseExpiresAt, this._unknownLeasesExpireAt)
  }

  /**
   * Epoch milliseconds by which a run has ended unless the lease is renewed, whichever incarnation it is on. A start without a response counts for the known incarnation: the worker is silent, and
   * nothing tells a restart from a partition, in which the run would wait for a lease that nobody has set.
   */
  expiryOf (run: TaskRun): number {
    if (run.runState === 'inherited' && !run.isStarted) return Math.max(this.leaseExpiresAt, this.inheritedStartsExpireAt)
    return run.evidenceFrom === 0 || run.runState === 'settling' ? this.leaseExpiresAt : Math.max(this.leaseExpiresAt, this._startLeaseExpiresAt(run))
  }

  /** Epoch milliseconds by which that holds for all runs, also for those whose start is unsettled. */
  get runsExpireAt (): number {
    return Math.max(this.leaseExpiresAt, ...[...this.tasks].map(run => this.expiryOf(run)))
  }

  /** Epoch milliseconds by which a lease has expired that the start of a run has set on an incarnation whose clock isn't known. */
  private _startLeaseExpiresAt ({ startCallEndsAt }: TaskRun): number {
    return startCallEndsAt === 0 ? 0 : startCallEndsAt + this._maximumLeaseMilliseconds / WORKER_CLOCK_RATE.slowest + LEASE_EXPIRY_MARGIN_MILLISECONDS
  }

  private _endCall (): void {
    const ended = this._incarnationEnd
    this._incarnationEnd = new AbortController()
    ended.abort(INCARNATION_ENDED)
  }

  private _clearFailedCalls (): void {
    this.unreachableSince = 0
    this.refusesConnections = false
    this.hasSuccessor = false
  }
}
