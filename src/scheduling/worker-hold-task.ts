/**
 * Keeps one worker's lease and learns what ends there.
 */
import type { Metrics } from '../observability/metrics.js'
import type { DecisionLog } from '../observability/decision-log.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { DecisionWriterTask } from './decision-writer-task.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { LeaseDurations } from './lease-terms.js'
import type { ReportReader } from './report-reader.js'
import type { WorkerError } from './worker-error.js'
import type { WorkerRoster } from './worker-roster.js'

/** How long a worker waits for an end before it answers, in milliseconds: a third of the shortest lease in use. */
const LONG_POLL_MILLISECONDS = 1_000

/** Time on top of the wait after which a call is given up, in milliseconds. */
const RESPONSE_MARGIN_MILLISECONDS = 600

/** Longest wait for the journal before the worker is asked again without acknowledging, in milliseconds. */
const JOURNAL_WAIT_MILLISECONDS = 700

/** Longest pauses after failed calls, in milliseconds. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/** Calls without an answer after which the worker counts as out of reach. */
const FAILURES_UNTIL_UNREACHABLE = 2

/** Asks, takes in, writes, acknowledges, repeats. */
export class WorkerHoldTask extends Task {
  private readonly _backoff: Backoff
  private _consecutiveFailures = 0

  /** @param _onFenced called when the worker has seen a higher token. */
  constructor (
    private readonly _worker: FleetWorker, private readonly _schedule: FleetSchedule, private readonly _workers: WorkerRoster, private readonly _reconciler: ReportReader, private readonly _writer: DecisionWriterTask,
    private readonly _lease: LeaseDurations, private readonly _onFenced: (cause: string) => void,
    private readonly _clock: Clock, random: RandomSource, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  override get name (): string {
    return `hold ${this._worker.entry.id}`
  }

  /** Holds on until the worker is gone and nothing of it is left, or `signal` is aborted. */
  override async run (signal: AbortSignal): Promise<void> {
    const { _worker: worker } = this
    while (!signal.aborted && (worker.isListed || worker.tasks.size > 0)) {
      const askedAt = this._clock.now()
      const wait = worker.heardAt > 0 && worker.appliedSequence === worker.acknowledgedSequence ? LONG_POLL_MILLISECONDS : 0
      const request = {
        leaseDeadline: this._mayRenewLease() ? worker.extendLeaseDeadline(askedAt, this._lease.milliseconds) : null,
        // After a call without an answer another incarnation may be there, whose ends have the same numbers.
        acknowledged: this._consecutiveFailures === 0 ? worker.acknowledgedSequence : 0,
        waitMilliseconds: wait
      }
      const { client } = worker
      if (!client) return
      const answer = await client.hold(request, askedAt + wait + RESPONSE_MARGIN_MILLISECONDS, signal)
      if (signal.aborted) return
      if (answer.isLeft()) {
        if (!await this._handleFailure(answer.extract() as WorkerError, signal)) return
        continue
      }
      this._recordSuccess()
      this._reconciler.applyReport(worker, answer.unsafeCoerce(), askedAt)
      await this._acknowledgeWhenWritten(signal)
    }
    this._workers.removeIfIdle(worker)
  }

  /**
   * A worker that doesn't answer may have taken the extension, so that each one would put off the moment when its runs are
   * surely gone. And a later owner counts on it that one without the store stops extending.
   */
  private _mayRenewLease (): boolean {
    return this._consecutiveFailures === 0 && this._writer.isTermConfirmedWithin(this._lease.extensionMilliseconds)
  }

  /** Ends may be acknowledged once the journal has them. */
  private async _acknowledgeWhenWritten (signal: AbortSignal): Promise<void> {
    const { _worker: worker } = this
    const { appliedSequence: handled, entry: { incarnation } } = worker
    if (handled === worker.acknowledgedSequence) return
    const written = new Promise<void>(resolve => this._writer.whenWritten(() => {
      // The next incarnation numbers its ends from 1 again: none of them has been seen.
      if (worker.entry.incarnation === incarnation) worker.acknowledgedSequence = Math.max(worker.acknowledgedSequence, handled)
      resolve()
    }))
    const giveUp = new AbortController()
    const stop = (): void => giveUp.abort()
    signal.addEventListener('abort', stop, { once: true })
    await Promise.race([written, this._clock.sleepUntil(this._clock.now() + JOURNAL_WAIT_MILLISECONDS, giveUp.signal).catch(() => {})])
    giveUp.abort()
    signal.removeEventListener('abort', stop)
  }

  /** Whether to go on. */
  private async _handleFailure (error: WorkerError, signal: AbortSignal): Promise<boolean> {
    const { _worker: worker } = this
    this._metrics.count('workers.hold_failures', 1, error.kind)
    this._consecutiveFailures += 1
    if (this._consecutiveFailures === FAILURES_UNTIL_UNREACHABLE) this._log.note('worker out of reach', { worker: worker.entry.id, cause: error.message, heardAt: worker.heardAt, lapsesAt: worker.leaseExpiresAt })
    if (error.kind === 'fenced') {
      this._onFenced(`worker ${worker.entry.id}: ${error.message}`)
      return false
    }
    if (error.kind === 'replaced') {
      // The address belongs to another worker now; this one has ended.
      this._schedule.allRunsLost(worker, 'replaced')
      worker.isListed = false
      this._workers.removeIfIdle(worker)
      return false
    }
    await this._backoff.pause(signal)
    return true
  }

  private _recordSuccess (): void {
    if (this._consecutiveFailures >= FAILURES_UNTIL_UNREACHABLE) this._log.note('worker reached again', { worker: this._worker.entry.id })
    this._consecutiveFailures = 0
    this._backoff.reset()
  }
}
