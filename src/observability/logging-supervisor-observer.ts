/**
 * Supervisor observer that writes to the process log.
 */
import type { Logger } from 'winston'
import { SupervisorObserver } from '../supervision/supervisor-observer.js'
import type { Metrics } from './metrics.js'

/** Counts restarts and failures; logs restarts as errors, failures of temporary children only at level `debug`. */
export class LoggingSupervisorObserver extends SupervisorObserver {
  constructor (private readonly _logger: Logger, private readonly _metrics: Metrics) {
    super()
  }

  override childRestarted (supervisor: string, child: string, error: Error): void {
    this._metrics.count('supervision.restarts', 1, child)
    this._logger.error('task restarted', { supervisor, child, error: error.stack ?? error.message })
  }

  override childFailed (supervisor: string, child: string, error: Error): void {
    this._metrics.count('supervision.failures')
    this._logger.debug('connection or request task failed', { supervisor, child, error: error.message })
  }
}
