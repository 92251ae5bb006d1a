/**
 * Stops one run.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { WorkerError } from './worker-error.js'

/** Limit on one attempt, in milliseconds. */
const STOP_TIMEOUT_MILLISECONDS = 600

/** Longest pauses between attempts, in milliseconds. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/** Repeats the order until the worker has answered: a run that isn't there yet is then refused. */
export class StopRunTask extends Task {
  override readonly name = 'stop-run'
  private readonly _backoff: Backoff

  /** @param _onFenced called when the worker has seen a higher token. */
  constructor (
    private readonly _worker: FleetWorker, private readonly _task: string, private readonly _run: number, private readonly _schedule: FleetSchedule,
    private readonly _onFenced: (cause: string) => void, private readonly _clock: Clock, random: RandomSource, private readonly _log: DecisionLog
  ) {
    super()
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  override async run (signal: AbortSignal): Promise<void> {
    const { _worker: worker } = this
    // After the lease has lapsed nothing is left to stop; the client goes with the worker.
    while (!signal.aborted && worker.client) {
      const answer = await worker.client.stop(this._task, this._run, this._clock.now() + STOP_TIMEOUT_MILLISECONDS, signal)
      if (answer.isRight()) {
        this._log.emit('run stopped', { task: this._task, run: this._run, worker: worker.entry.id })
        this._schedule.stopAnswered(this._task, this._run)
        return
      }
      const error = answer.extract() as WorkerError
      if (error.kind === 'fenced') this._onFenced(`worker ${worker.entry.id}: ${error.message}`)
      if (error.kind === 'fenced' || error.kind === 'replaced' || error.kind === 'invalid') {
        this._log.emit('stop refused', { task: this._task, run: this._run, worker: worker.entry.id, cause: error.message })
        return
      }
      await this._backoff.pause(signal)
    }
  }
}
