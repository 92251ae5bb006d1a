/**
 * Counters, gauges and timings as the parts report them.
 */
import type { MetricName } from './metric-name.js'

/** Where metrics go. Tags are short and bounded: pool, team, purpose, reason. */
export abstract class Metrics {
  /** Adds to a counter. */
  abstract count (name: MetricName, amount?: number, tag?: string): void

  /** Sets a gauge. */
  abstract setGauge (name: MetricName, value: number, tag?: string): void

  /** Reports one timing in milliseconds. */
  abstract timing (name: MetricName, milliseconds: number, tag?: string): void
}
