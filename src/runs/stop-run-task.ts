/**
 * Stop order for one run.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { StartOutcomeHandler } from '../runs/start-outcome-handler.js'
import type { WorkerError } from '../workers/worker-error.js'

const STOP_TIMEOUT_MILLISECONDS = 600

/** Base and ceiling of the backoff between attempts. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/** Retries the stop order until the worker responds, or the run is known not to exist. After a response, the worker refuses to start the run if it has not started yet. */
export class StopRunTask extends Task {
  override readonly name = 'stop-run'
  private readonly _backoff: Backoff

  /** @param _onFenced called when the worker has seen a higher fencing token. */
  constructor (
    private readonly _worker: FleetWorker, private readonly _taskName: string, private readonly _run: number, private readonly _outcomes: StartOutcomeHandler,
    private readonly _onFenced: (cause: string) => void, private readonly _clock: Clock, random: RandomSource, private readonly _log: DecisionLog
  ) {
    super()
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  override async run (signal: AbortSignal): Promise<void> {
    const { _worker: worker } = this
    // The client is null once lease renewal has ended: after the lease has expired no run is left to stop.
    while (!signal.aborted && worker.client) {
      const sentAt = this._clock.now()
      const response = await worker.client.stop(this._taskName, this._run, sentAt + STOP_TIMEOUT_MILLISECONDS, signal)
      if (response.isRight()) {
        const { entry: { id, incarnation }, clockEstimate } = worker
        const clock = response.unsafeCoerce()
        this._log.emit('run stopped', { task: this._taskName, run: this._run, worker: id, incarnation, isFromOther: clock === null ? null : clockEstimate.isFromOther(clock, sentAt, this._clock.now()) })
        this._outcomes.stopConfirmed(worker, this._taskName, this._run)
        return
      }
      const error = response.extract() as WorkerError
      if (error.kind === 'fenced') this._onFenced(`worker ${worker.entry.id}: ${error.message}`)
      if (error.kind === 'fenced' || error.kind === 'replaced' || error.kind === 'invalid') {
        this._outcomes.stopRefused(worker, this._taskName, this._run)
        this._log.emit('stop refused', { task: this._taskName, run: this._run, worker: worker.entry.id, cause: error.message })
        return
      }
      await this._backoff.pause(signal)
      if (!this._outcomes.isStopNeeded(worker, this._taskName, this._run)) return
    }
  }
}
