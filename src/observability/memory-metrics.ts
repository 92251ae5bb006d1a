/**
 * In-memory metrics for tests, benchmarks and daemons without a metrics address.
 */
import type { MetricName } from './metric-name.js'
import { Metrics } from './metrics.js'

/** Stores the sums of counters and the last values of gauges; of timings only their number. */
export class MemoryMetrics extends Metrics {
  private readonly _values = new Map<string, number>()

  /** Returns the value of a counter or gauge for one tag, or summed over all tags. */
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
