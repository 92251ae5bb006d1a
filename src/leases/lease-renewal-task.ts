/**
 * Lease renewal for one worker.
 */
import type { Metrics } from '../observability/metrics.js'
import type { DecisionLog } from '../observability/decision-log.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import { FollowingSignal } from '../supervision/following-signal.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { LeaseBounds } from '../leases/lease-bounds.js'
import type { LeaseRenewalPermit } from '../leases/lease-renewal-permit.js'
import type { OwnerPace } from '../scheduling/owner-pace.js'
import type { WorkerReconciler } from '../workers/worker-reconciler.js'
import type { WorkerError } from '../workers/worker-error.js'
import type { WorkerLossHandler } from '../workers/worker-loss-handler.js'
import type { WorkerTable } from '../workers/worker-table.js'

/** Time for which a worker with tasks may delay its response until a run completes: a third of the shortest lease in use. */
const LONG_POLL_MILLISECONDS = 1_000

/** The same for a worker without tasks, which has nothing to lose with its lease. */
const IDLE_LONG_POLL_MILLISECONDS = 2_000

/** Longest wait of a worker's first report for the takeover, after which another one is requested, in milliseconds. */
const TAKEOVER_WAIT_MILLISECONDS = 1_000

/** Timeout of the wait for the journal, after which the lease is renewed without acknowledging the new completions. */
const JOURNAL_WAIT_MILLISECONDS = 700

/** Reason for stopping the timer of that wait. Node would otherwise create an error with a stack trace for each wait. */
const JOURNAL_WAIT_OVER = new Error('the wait for the journal is over')

/** Reason for ending a call or a pause early. */
const WAIT_OVER = new Error('the wait is over')

/** Base and ceiling of the backoff after failed calls. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/**
 * Pause after a failed call to a cordoned worker without tasks, in milliseconds. Its VM is being moved or maintained, the next worker on it has another ID, and the platform lists the ended one for
 * up to 4.5 s: with the usual backoff an owner that moved 60 VMs a second opened some 800 connections a second that were refused.
 */
const CORDONED_PAUSE_MILLISECONDS = 5_000

/** Consecutive failed calls after which the worker is logged as unreachable. */
const FAILURES_UNTIL_UNREACHABLE = 2

/** Renews the lease, applies the report that comes back, waits until its completions are in the journal, and acknowledges them with the next renewal. */
export class LeaseRenewalTask extends Task {
  private readonly _backoff: Backoff
  private _consecutiveFailures = 0
  private _stop: FollowingSignal | null = null

  /**
   * @param _leaseMilliseconds length of a lease.
   * @param _onFenced called when the worker has seen a higher fencing token.
   */
  constructor (
    private readonly _worker: FleetWorker, private readonly _losses: WorkerLossHandler, private readonly _workers: WorkerTable, private readonly _reconciler: WorkerReconciler, private readonly _writer: DecisionWriterTask, private readonly _leaseBounds: LeaseBounds, private readonly _permit: LeaseRenewalPermit,
    private readonly _leaseMilliseconds: number, private readonly _pace: OwnerPace, private readonly _onFenced: (cause: string) => void,
    private readonly _clock: Clock, random: RandomSource, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  override get name (): string {
    return `hold ${this._worker.entry.id}`
  }

  /** Renews until the worker is unlisted and has no placed or bound tasks left, or `signal` is aborted. */
  override async run (signal: AbortSignal): Promise<void> {
    try {
      await this._renewLeases(signal)
    } finally {
      this._stop?.end()
      this._stop = null
    }
  }

  private async _renewLeases (signal: AbortSignal): Promise<void> {
    const { _worker: worker } = this
    while (!signal.aborted && (worker.isListed || worker.isNeeded)) {
      const requestedAt = this._clock.now()
      const longPollMilliseconds = this._longPollMilliseconds()
      const responseDeadline = requestedAt + longPollMilliseconds + this._pace.responseMilliseconds
      // After a failed call only a report makes the worker reachable again.
      worker.reportDueAt = this._consecutiveFailures > 0 ? 0 : responseDeadline
      worker.responseOverdueAt = requestedAt + longPollMilliseconds + this._pace.responseMilliseconds / 2
      const request = {
        leaseDeadline: this._mayRenewLease() ? worker.extendLeaseDeadline(requestedAt, this._leaseMilliseconds) : null,
        // After a failed call another incarnation may respond, whose completions reuse the same sequence numbers.
        acknowledged: this._consecutiveFailures === 0 && !worker.isRestartSuspected && worker.acknowledgedSequence > worker.answeredSequence ? worker.acknowledgedSequence : 0,
        waitMilliseconds: longPollMilliseconds
      }
      const { client } = worker
      if (!client) return
      const { token } = client.fence
      const { incarnationSignal } = worker
      const response = await client.renewLease(request, responseDeadline, this._untilRestart(signal))
      worker.responseOverdueAt = Infinity
      if (signal.aborted) return
      if (response.isLeft()) {
        if (incarnationSignal.aborted) continue
        if (!await this._handleFailure(response.extract() as WorkerError, signal)) return
        continue
      }
      this._recordSuccess()
      worker.answeredSequence = Math.max(worker.answeredSequence, request.acknowledged)
      this._reconciler.applyReport(worker, response.unsafeCoerce(), requestedAt, token)
      if (worker.hasLeaseBound) this._leaseBounds.withdraw(worker)
      await this._permit.untilInForce(this._clock.now() + TAKEOVER_WAIT_MILLISECONDS, signal)
      if (worker.hasLeaseBound || worker.appliedSequence !== worker.acknowledgedSequence) await this._pauseUntilWritten(signal)
    }
    this._workers.removeIfIdle(worker)
  }

  /**
   * Returns whether to extend the lease deadline. A worker that does not respond may still have applied an extension, so each
   * further one would delay the moment at which its runs are known to have ended, by this owner and, as the journal has it, by the next one.
   * Besides, the next owner relies on an owner without contact to the store to stop renewing leases. A worker that reports but answers neither a start nor
   * the stop that follows, or whose reports prove nothing, would keep the task for ever if its lease went on.
   */
  private _mayRenewLease (): boolean {
    return this._consecutiveFailures === 0 && !this._worker.isRestartSuspected && !this._worker.hasLeaseBound && !this._worker.hasOnlyUnsettledRuns && this._permit.isGranted
  }

  private _longPollMilliseconds (): number {
    const { lastReportAt, appliedSequence, acknowledgedSequence, hasLeaseBound, isFenceUnconfirmed, isRestartSuspected, tasks } = this._worker
    // After a failed call, the next response shows at once that the worker is back, while its lease still runs.
    if (lastReportAt === 0 || !this._permit.isInForce || this._consecutiveFailures > 0 || hasLeaseBound || isFenceUnconfirmed || isRestartSuspected || appliedSequence !== acknowledgedSequence) return 0
    // An idle worker has no lease to extend, but its responses count as well for whether leases may be extended without the store.
    return tasks.size === 0 ? this._permit.limitWaitForResumption(IDLE_LONG_POLL_MILLISECONDS) : this._permit.limitWait(LONG_POLL_MILLISECONDS)
  }

  /**
   * Waits until the completions may be acknowledged and the lease extended, and so long that the next report collects the completions of the meantime. When that time is over,
   * the journal mostly has the completions, so that no other timer is needed.
   */
  private async _pauseUntilWritten (signal: AbortSignal): Promise<void> {
    const startedAt = this._clock.now()
    let isWritten = false
    const written = this._acknowledgeWhenWritten().then(() => { isWritten = true })
    await this._clock.sleepUntil(startedAt + this._pace.renewalIntervalMilliseconds, signal).catch(() => {})
    if (isWritten || signal.aborted) return
    const timer = new FollowingSignal([signal], JOURNAL_WAIT_OVER)
    await Promise.race([written, this._clock.sleepUntil(startedAt + JOURNAL_WAIT_MILLISECONDS, timer.signal).catch(() => {})])
    timer.end()
  }

  /** Acknowledges the applied completions with the next renewal after the journal has them. */
  private _acknowledgeWhenWritten (): Promise<void> {
    const { _worker: worker } = this
    const { appliedSequence, entry: { incarnation } } = worker
    return new Promise<void>(resolve => this._writer.whenWritten(() => {
      // A new incarnation numbers its completions from 1 again, and none of those has been applied.
      if (worker.entry.incarnation === incarnation) worker.acknowledgedSequence = Math.max(worker.acknowledgedSequence, appliedSequence)
      resolve()
    }))
  }

  /** Handles a failed call; returns whether to go on renewing. */
  private async _handleFailure (error: WorkerError, signal: AbortSignal): Promise<boolean> {
    const { _worker: worker } = this
    // The worker has done nothing but is there; the next call carries the higher token.
    if (error.kind === 'superseded') return true
    this._metrics.count('workers.hold_failures', 1, error.kind)
    this._consecutiveFailures += 1
    worker.reportDueAt = 0
    worker.recordFailedCall(error.isConnectionRefused, this._clock.now())
    if (this._consecutiveFailures === FAILURES_UNTIL_UNREACHABLE) this._log.emit('worker unreachable', { worker: worker.entry.id, cause: error.message, heardAt: worker.lastReportAt, lapsesAt: worker.leaseExpiresAt })
    if (error.kind === 'fenced') {
      this._onFenced(`worker ${worker.entry.id}: ${error.message}`)
      return false
    }
    if (error.kind === 'replaced') {
      // The address belongs to another worker or incarnation now; this one has ended.
      this._losses.incarnationEnded(worker, 'replaced', [...worker.tasks])
      worker.isReplaced = true
      worker.isListed = false
      this._workers.removeIfIdle(worker)
      return false
    }
    this._leaseBounds.record(worker)
    await this._pauseAfterFailure(this._untilRestart(signal))
    return true
  }

  private async _pauseAfterFailure (stop: AbortSignal): Promise<void> {
    const { isCordoned, isNeeded } = this._worker
    if (isCordoned && !isNeeded) await this._clock.sleepUntil(this._clock.now() + CORDONED_PAUSE_MILLISECONDS, stop).catch(() => {})
    else await this._backoff.pause(stop)
  }

  /**
   * Returns a signal that ends a call or a pause early once the worker has restarted, or has probably done so: until the new incarnation has been called it may carry out late starts.
   * All calls to an incarnation share it, because a signal for each costs noticeable processor time.
   */
  private _untilRestart (signal: AbortSignal): AbortSignal {
    const { incarnationSignal } = this._worker
    if (!this._stop?.follows(incarnationSignal)) {
      this._stop?.end()
      this._stop = new FollowingSignal([signal, incarnationSignal], WAIT_OVER)
    }
    return this._stop.signal
  }

  private _recordSuccess (): void {
    if (this._consecutiveFailures >= FAILURES_UNTIL_UNREACHABLE) this._log.emit('worker reachable again', { worker: this._worker.entry.id })
    this._consecutiveFailures = 0
    this._backoff.reset()
  }
}
