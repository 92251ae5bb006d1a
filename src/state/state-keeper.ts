/**
 * Holds the folded state and lets others wait for it.
 */
import type { Metrics } from '../observability/metrics.js'
import type { Decision } from '../schemas/decision.js'
import type { FleetSnapshot } from '../schemas/fleet-snapshot.js'
import type { LogPage } from '../schemas/log-page.js'
import { LogRecord } from '../schemas/log-record.js'
import type { RecordsAnswer } from '../schemas/records-answer.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { FleetState } from './fleet-state.js'
import { RecordFold } from './record-fold.js'

/** Recent records kept for peers that lag; further back they get the whole state. */
const RECENT_RECORDS = 2_048

/** Recent decisions of every kind kept for authors that read them back. */
const RECENT_DECISIONS = 4_096

/**
 * The one place where a process's state changes. It only ever moves forward: records at
 * or below the offset held and snapshots older than it are refused.
 */
export class StateKeeper {
  /** Notified after every change. */
  readonly changed = new Notifier()
  private _fold = new RecordFold(new FleetState())
  private _recent: LogPage['records'] = []
  private readonly _decisions = new Map<string, Decision>()
  private _freshAt = 0

  constructor (private readonly _clock: Clock, private readonly _metrics: Metrics) {}

  /** The state now. A loaded snapshot replaces the object, so don't keep it over a wait. */
  get state (): FleetState {
    return this._fold.state
  }

  /** Latest moment (epoch milliseconds) at which the state was known to be the newest; 0 if never. */
  get freshAt (): number {
    return this._freshAt
  }

  /** Notes that the state was the newest at a moment. */
  markFresh (moment: number): void {
    this._freshAt = Math.max(this._freshAt, moment)
  }

  /**
   * Folds records in order; those already folded are skipped.
   *
   * @returns false if records between are missing, in which case none after the gap is taken.
   */
  applyRecords (records: LogPage['records']): boolean {
    let isComplete = true
    const before = this.state.offset
    for (const { offset, record } of records) {
      if (offset <= this.state.offset) continue
      if (offset !== this.state.offset + 1) {
        isComplete = false
        break
      }
      this._take(offset, record)
    }
    if (this.state.offset !== before) this._announce()
    return isComplete
  }

  /**
   * Takes a snapshot if it is newer than the state held.
   *
   * @returns whether it was taken.
   */
  loadSnapshot (snapshot: FleetSnapshot): boolean {
    if (snapshot.offset <= this.state.offset) {
      this._metrics.count('state.refused_stale')
      return false
    }
    this._fold = new RecordFold(FleetState.fromSnapshot(snapshot))
    this._recent = []
    for (const decision of snapshot.decisions) this._remember(decision)
    this._metrics.count('state.snapshots_loaded')
    this._announce()
    return true
  }

  /** What a peer whose state is at `offset` lacks. */
  recordsSince (offset: number): RecordsAnswer {
    if (offset >= this.state.offset) return { records: [], snapshot: null }
    const first = this._recent[0]
    if (!first || first.offset > offset + 1) return { records: [], snapshot: this.state.toSnapshot() }
    return { records: this._recent.slice(offset + 1 - first.offset), snapshot: null }
  }

  /** The decision on a record, if it is known here. */
  decisionOf (id: string): Decision | undefined {
    return this.state.decisions.get(id) ?? this._decisions.get(id)
  }

  /** Waits for the decision on a record until `deadline` (epoch milliseconds); undefined if none came. */
  async awaitDecision (id: string, deadline: number, signal?: AbortSignal): Promise<Decision | undefined> {
    while (this._clock.now() < deadline && !signal?.aborted) {
      const decision = this.decisionOf(id)
      if (decision) return decision
      await this.changed.wait(this._clock, deadline, signal)
    }
    return this.decisionOf(id)
  }

  private _take (offset: number, record: unknown): void {
    const parsed = LogRecord.safeParse(record)
    if (!parsed.success) this._metrics.count('log.unreadable_records')
    const decision = this._fold.fold(offset, parsed.success ? parsed.data : null)
    if (decision) this._remember(decision)
    this._metrics.count('log.records')
    this._recent.push({ offset, record })
    // Cut in halves, so that trimming costs little per record.
    if (this._recent.length > 2 * RECENT_RECORDS) this._recent = this._recent.slice(-RECENT_RECORDS)
  }

  private _remember (decision: Decision): void {
    this._decisions.set(decision.id, decision)
    if (this._decisions.size <= RECENT_DECISIONS) return
    const [oldest] = this._decisions.keys()
    if (oldest !== undefined) this._decisions.delete(oldest)
  }

  private _announce (): void {
    this._metrics.level('state.offset.level', this.state.offset)
    this.changed.notify()
  }
}
