/**
 * Reports of supervisors in the decision log.
 */
import { SupervisorObserver } from '../supervision/supervisor-observer.js'
import type { DecisionLog } from './decision-log.js'
import type { Metrics } from './metrics.js'

/** Counts restarts and failures and notes their causes. */
export class DecisionLogSupervisorObserver extends SupervisorObserver {
  constructor (private readonly _log: DecisionLog, private readonly _metrics: Metrics) {
    super()
  }

  override childRestarted (supervisor: string, child: string, error: Error): void {
    this._metrics.count('supervision.restarts', 1, child)
    this._log.emit('task restarted', { supervisor, child, error: error.stack ?? error.message })
  }

  override childFailed (supervisor: string, child: string, error: Error): void {
    this._metrics.count('supervision.failures')
    this._log.emit('task failed', { supervisor, child, error: error.stack ?? error.message })
  }
}
