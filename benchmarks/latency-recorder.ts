/**
 * Latency percentiles, computed with `hdr-histogram-js`.
 */
import { build, type Histogram } from 'hdr-histogram-js'

const NANOSECONDS_PER_MICROSECOND = 1_000n

/** Histogram of latencies with a resolution of one microsecond and three significant digits. */
export class LatencyRecorder {
  private readonly _histogram: Histogram = build({ numberOfSignificantValueDigits: 3 })

  /** Runs an operation and records its latency. */
  async time (operation: () => Promise<void>): Promise<void> {
    const startedAt = process.hrtime.bigint()
    await operation()
    this.record(Number((process.hrtime.bigint() - startedAt) / NANOSECONDS_PER_MICROSECOND))
  }

  /** Records a latency in microseconds. */
  record (microseconds: number): void {
    this._histogram.recordValue(Math.max(1, Math.round(microseconds)))
  }

  /** Latency at a percentile, in milliseconds. */
  percentile (percentile: number): number {
    return this._histogram.getValueAtPercentile(percentile) / 1_000
  }
}
