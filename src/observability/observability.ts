/**
 * Through what a component tells the time and reports what it does.
 */
import type { Clock } from '../supervision/clock.js'
import type { DecisionLog } from './decision-log.js'
import type { Metrics } from './metrics.js'

/** Source of time, metrics and log of decisions. */
export interface Observability {
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: DecisionLog
}
