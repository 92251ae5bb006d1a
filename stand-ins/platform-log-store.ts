/**
 * Log of the simulated platform.
 */

/** A record and its offset. */
interface StoredRecord {
  readonly offset: number
  readonly record: unknown
}

/** Append-only log in memory that can discard its oldest records. */
export class PlatformLogStore {
  private _records: StoredRecord[] = []
  private _nextOffset = 1
  private _appendWaiters: (() => void)[] = []
  /** Number of appends, each with one or more records. */
  appends = 0

  /** Offset of the next record to be appended. */
  get nextOffset (): number {
    return this._nextOffset
  }

  /** Offset of the oldest record kept, or the next offset if there is none. */
  get earliestOffset (): number {
    return this._records[0]?.offset ?? this._nextOffset
  }

  /** Appends records and returns the offset of the first. */
  append (records: readonly unknown[]): number {
    const firstOffset = this._nextOffset
    for (const record of records) this._records.push({ offset: this._nextOffset++, record })
    this.appends += 1
    const waiters = this._appendWaiters
    this._appendWaiters = []
    for (const wake of waiters) wake()
    return firstOffset
  }

  /** Returns at most `limit` records, starting at an offset. */
  read (from: number, limit: number): StoredRecord[] {
    const index = Math.max(0, from - this.earliestOffset)
    return this._records.slice(index, index + limit)
  }

  /** Discards all but the newest `count` records; 0 keeps all. */
  retain (count: number): void {
    if (count > 0 && this._records.length > count) this._records = this._records.slice(-count)
  }

  /** Resolves when records are appended next. */
  nextAppend (): Promise<void> {
    return new Promise(resolve => this._appendWaiters.push(resolve))
  }
}
