/**
 * The fleet state of a process, with notification of its changes.
 */
import type { Metrics } from '../observability/metrics.js'
import type { Decision } from '../schemas/decision.js'
import type { FleetSnapshot } from '../schemas/fleet-snapshot.js'
import type { LogPage } from '../schemas/log-page.js'
import { LogRecord } from '../schemas/log-record.js'
import type { RecordsResponse } from '../schemas/records-response.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { FleetState } from './fleet-state.js'
import { RecordFold } from './record-fold.js'

/** Number of recent records retained for peers that lag behind; peers further behind get a snapshot. */
const RECENT_RECORDS = 2_048

/** Number of recent decisions, on all kinds of commands, retained for the authors that wait for them. */
const RECENT_DECISIONS = 4_096

/**
 * Owns the state of a process; every change of the state goes through it. The offset never
 * decreases: records at or below it are skipped, and older snapshots are refused.
 */
export class StateKeeper {
  /** Notified after every change. */
  readonly changed = new Notifier()
  private _fold = new RecordFold(new FleetState())
  private _recentRecords: LogPage['records'] = []
  private readonly _recentDecisions = new Map<string, Decision>()
  private _freshAt = 0

  constructor (private readonly _clock: Clock, private readonly _metrics: Metrics) {}

  /** The current state. A loaded snapshot replaces the object, so don't hold a reference across an `await`. */
  get state (): FleetState {
    return this._fold.state
  }

  /** Latest moment (epoch milliseconds) as of which the state was known to be up to date; 0 if never. */
  get freshAt (): number {
    return this._freshAt
  }

  /** Marks the state as known to be up to date as of a moment (epoch milliseconds). */
  markFresh (moment: number): void {
    this._freshAt = Math.max(this._freshAt, moment)
  }

  /**
   * Applies records in order and skips those already applied.
   *
   * @returns false if there is a gap; no record after the gap is applied.
   */
  applyRecords (records: LogPage['records']): boolean {
    let isComplete = true
    const previousOffset = this.state.offset
    for (const { offset, record } of records) {
      if (offset <= this.state.offset) continue
      if (offset !== this.state.offset + 1) {
        isComplete = false
        break
      }
      this._applyRecord(offset, record)
    }
    if (this.state.offset !== previousOffset) this._notifyChanged()
    return isComplete
  }

  /**
   * Replaces the state by a snapshot if the snapshot is newer.
   *
   * @returns whether the state was replaced.
   */
  loadSnapshot (snapshot: FleetSnapshot): boolean {
    if (snapshot.offset <= this.state.offset) {
      this._metrics.count('state.refused_stale')
      return false
    }
    this._fold = new RecordFold(FleetState.fromSnapshot(snapshot))
    this._recentRecords = []
    for (const decision of snapshot.decisions) this._retainDecision(decision)
    this._metrics.count('state.snapshots_loaded')
    this._notifyChanged()
    return true
  }

  /** Returns the records after `offset` for a peer, or a snapshot if they are no longer retained. */
  recordsSince (offset: number): RecordsResponse {
    if (offset >= this.state.offset) return { records: [], snapshot: null }
    const first = this._recentRecords[0]
    if (!first || first.offset > offset + 1) return { records: [], snapshot: this.state.toSnapshot() }
    return { records: this._recentRecords.slice(offset + 1 - first.offset), snapshot: null }
  }

  /** Returns the decision on the record with this id; undefined if there is none, or if it is no longer retained. */
  decisionOf (id: string): Decision | undefined {
    return this.state.decisions.get(id) ?? this._recentDecisions.get(id)
  }

  /** Waits for the decision on a record until `deadline` (epoch milliseconds); undefined if there is none by then. */
  async awaitDecision (id: string, deadline: number, signal?: AbortSignal): Promise<Decision | undefined> {
    while (this._clock.now() < deadline && !signal?.aborted) {
      const decision = this.decisionOf(id)
      if (decision) return decision
      await this.changed.wait(this._clock, deadline, signal)
    }
    return this.decisionOf(id)
  }

  private _applyRecord (offset: number, record: unknown): void {
    const parsed = LogRecord.safeParse(record)
    if (!parsed.success) this._metrics.count('log.unreadable_records')
    const decision = this._fold.fold(offset, parsed.success ? parsed.data : null)
    if (decision) this._retainDecision(decision)
    this._metrics.count('log.records')
    this._recentRecords.push({ offset, record })
    // Trimmed only at twice the size, so that the amortized cost per record is small.
    if (this._recentRecords.length > 2 * RECENT_RECORDS) this._recentRecords = this._recentRecords.slice(-RECENT_RECORDS)
  }

  private _retainDecision (decision: Decision): void {
    this._recentDecisions.set(decision.id, decision)
    if (this._recentDecisions.size <= RECENT_DECISIONS) return
    const [oldest] = this._recentDecisions.keys()
    if (oldest !== undefined) this._recentDecisions.delete(oldest)
  }

  private _notifyChanged (): void {
    this._metrics.setGauge('state.offset.level', this.state.offset)
    this.changed.notify()
  }
}
