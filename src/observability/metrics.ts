/**
 * Interface through which components report counters, gauges and timings.
 */
import type { MetricName } from './metric-name.js'

/** Receives metrics. Tags must be short and of bounded number, such as pool, team, purpose or reason. */
export abstract class Metrics {
  /** Adds `amount`, 1 by default, to a counter. */
  abstract count (name: MetricName, amount?: number, tag?: string): void

  /** Sets a gauge to a value. */
  abstract setGauge (name: MetricName, value: number, tag?: string): void

  /** Records one duration in milliseconds. */
  abstract timing (name: MetricName, milliseconds: number, tag?: string): void
}
