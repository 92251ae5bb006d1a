/**
 * Counts and reports the clients that were refused.
 */
import type { Metrics } from '../observability/metrics.js'
import type { RefusalReason } from './refusal-reason.js'

/** Least time between two summaries. */
const SUMMARY_INTERVAL_MILLISECONDS = 1_000

/** Refusals since the last summary. */
interface RefusalSummary {
  /** Number by reason, as REASON COUNT. */
  readonly reasons: readonly string[]
  /** Remote address of the last refused client. */
  readonly exampleAddress: string
}

/** Counts each refusal, and reports at most one summary per second, however many clients are refused. */
export class ClientRefusals {
  private readonly _counts = new Map<RefusalReason, number>()
  private _exampleAddress = ''
  private _nextSummaryAt = 0

  /** @param _report writes a summary to the log. */
  constructor (private readonly _metrics: Metrics, private readonly _report: (summary: RefusalSummary) => void) {}

  /** Counts a refusal. */
  add (reason: RefusalReason, remoteAddress: string): void {
    this._metrics.count('clients.refused', 1, reason)
    this._counts.set(reason, (this._counts.get(reason) ?? 0) + 1)
    this._exampleAddress = remoteAddress
  }

  /** Reports what was refused since the last summary, unless that was less than a second ago. */
  summarize (now: number): void {
    if (this._counts.size === 0 || now < this._nextSummaryAt) return
    this._report({ reasons: [...this._counts].map(([reason, count]) => `${reason} ${count}`), exampleAddress: this._exampleAddress })
    this._counts.clear()
    this._nextSummaryAt = now + SUMMARY_INTERVAL_MILLISECONDS
  }
}
