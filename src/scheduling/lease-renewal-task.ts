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
import type { LeaseTerms } from './lease-durations.js'
import type { WorkerReconciler } from './worker-reconciler.js'
import type { WorkerError } from './worker-error.js'
import type { WorkerTable } from './worker-table.js'

/** How long a worker waits for an end before it answers, in milliseconds: a third of the shortest lease in use. */
const WAIT_MILLISECONDS = 1_000

/** Time on top of the wait after which a call is given up, in milliseconds. */
const ANSWER_ALLOWANCE_MILLISECONDS = 600

/** Longest wait for the journal before the worker is asked again without acknowledging, in milliseconds. */
const ACKNOWLEDGE_WAIT_MILLISECONDS = 700

/** Longest pauses after failed calls, in milliseconds. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/** Calls without an answer after which the worker counts as out of reach. */
const SILENT_CALLS = 2

/** Asks, takes in, writes, acknowledges, repeats. */
export class LeaseRenewalTask extends Task {
  private readonly _backoff: Backoff
  private _failures = 0

  /** @param _onFenced called when the worker has seen a higher token. */
  constructor (
    private readonly _worker: FleetWorker, private readonly _schedule: FleetSchedule, private readonly _roster: WorkerTable, private readonly _reader: WorkerReconciler, private readonly _writer: DecisionWriterTask,
    private readonly _lease: LeaseTerms, private readonly _onFenced: (cause: string) => void,
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
      const wait = worker.lastReportAt > 0 && worker.handled === worker.acknowledged ? WAIT_MILLISECONDS : 0
      const request = {
        leaseDeadline: this._mayExtend() ? worker.extendLease(askedAt, this._lease.milliseconds) : null,
        // After a call without an answer another incarnation may be there, whose ends have the same numbers.
        acknowledged: this._failures === 0 ? worker.acknowledged : 0,
        waitMilliseconds: wait
      }
      const { client } = worker
      if (!client) return
      const answer = await client.renewLease(request, askedAt + wait + ANSWER_ALLOWANCE_MILLISECONDS, signal)
      if (signal.aborted) return
      if (answer.isLeft()) {
        if (!await this._fail(answer.extract() as WorkerError, signal)) return
        continue
      }
      this._noteReach()
      this._reader.take(worker, answer.unsafeCoerce(), askedAt)
      await this._acknowledge(signal)
    }
    this._roster.forget(worker)
  }

  /**
   * A worker that doesn't answer may have taken the extension, so that each one would put off the moment when its runs are
   * surely gone. And a later owner counts on it that one without the store stops extending.
   */
  private _mayExtend (): boolean {
    return this._failures === 0 && this._writer.isConfirmedWithin(this._lease.extensionMilliseconds)
  }

  /** Ends may be acknowledged once the journal has them. */
  private async _acknowledge (signal: AbortSignal): Promise<void> {
    const { _worker: worker } = this
    const { handled, entry: { incarnation } } = worker
    if (handled === worker.acknowledged) return
    const written = new Promise<void>(resolve => this._writer.whenWritten(() => {
      // The next incarnation numbers its ends from 1 again: none of them has been seen.
      if (worker.entry.incarnation === incarnation) worker.acknowledged = Math.max(worker.acknowledged, handled)
      resolve()
    }))
    const giveUp = new AbortController()
    const stop = (): void => giveUp.abort()
    signal.addEventListener('abort', stop, { once: true })
    await Promise.race([written, this._clock.sleepUntil(this._clock.now() + ACKNOWLEDGE_WAIT_MILLISECONDS, giveUp.signal).catch(() => {})])
    giveUp.abort()
    signal.removeEventListener('abort', stop)
  }

  /** Whether to go on. */
  private async _fail (error: WorkerError, signal: AbortSignal): Promise<boolean> {
    const { _worker: worker } = this
    this._metrics.count('workers.hold_failures', 1, error.kind)
    this._failures += 1
    if (this._failures === SILENT_CALLS) this._log.emit('worker out of reach', { worker: worker.entry.id, cause: error.message, heardAt: worker.lastReportAt, lapsesAt: worker.lapsesAt })
    if (error.kind === 'fenced') {
      this._onFenced(`worker ${worker.entry.id}: ${error.message}`)
      return false
    }
    if (error.kind === 'replaced') {
      // The address belongs to another worker now; this one has ended.
      this._schedule.loseAll(worker, 'replaced')
      worker.isListed = false
      this._roster.forget(worker)
      return false
    }
    await this._backoff.pause(signal)
    return true
  }

  private _noteReach (): void {
    if (this._failures >= SILENT_CALLS) this._log.emit('worker reached again', { worker: this._worker.entry.id })
    this._failures = 0
    this._backoff.reset()
  }
}
