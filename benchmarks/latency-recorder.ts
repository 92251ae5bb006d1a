/**
 * Latencies by `hdr-histogram-js`.
 */
import { build, type Histogram } from 'hdr-histogram-js'

/** Nanoseconds in a microsecond. */
const NANOSECONDS_PER_MICROSECOND = 1_000n

/** Records times in microseconds. */
export class LatencyRecorder {
  private readonly _histogram: Histogram = build({ numberOfSignificantValueDigits: 3 })

  /** Times one step. */
  async time (step: () => Promise<void>): Promise<void> {
    const startedAt = process.hrtime.bigint()
    await step()
    this.record(Number((process.hrtime.bigint() - startedAt) / NANOSECONDS_PER_MICROSECOND))
  }

  /** Records a value in microseconds. */
  record (microseconds: number): void {
    this._histogram.recordValue(Math.max(1, Math.round(microseconds)))
  }

  /** Value at a percentile, in milliseconds. */
  percentile (percentile: number): number {
    return this._histogram.getValueAtPercentile(percentile) / 1_000
  }
}
