/**
 * Metrics kept in memory, for tests, benchmarks and daemons without a metrics address.
 */
import type { MetricName } from './metric-name.js'
import { Metrics } from './metrics.js'

/** Keeps sums of counters and last values of gauges; timings are only counted. */
export class MemoryMetrics extends Metrics {
  private readonly _values = new Map<string, number>()

  /** The value of a counter or gauge over all tags, or of one tag. */
  value (name: MetricName, tag?: string): number {
    if (tag !== undefined) return this._values.get(`${name}:${tag}`) ?? 0
    let sum = 0
    for (const [key, value] of this._values) if (key.split(':')[0] === name) sum += value
    return sum
  }

  override count (name: MetricName, amount = 1, tag = ''): void {
    const key = `${name}:${tag}`
    this._values.set(key, (this._values.get(key) ?? 0) + amount)
  }

  override setGauge (name: MetricName, value: number, tag = ''): void {
    this._values.set(`${name}:${tag}`, value)
  }

  override timing (name: MetricName, _milliseconds: number, tag = ''): void {
    this.count(name, 1, tag)
  }
}
