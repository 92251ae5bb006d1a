/**
 * The log of the platform's stand-in.
 */

/** A record at its offset. */
interface StoredRecord {
  readonly offset: number
  readonly record: unknown
}

/** An append-only log in memory with retention. */
export class PlatformLogStore {
  private _records: StoredRecord[] = []
  private _nextOffset = 1
  private _waiters: (() => void)[] = []
  /** Appends so far. */
  appends = 0

  /** Offset that the next record gets. */
  get nextOffset (): number {
    return this._nextOffset
  }

  /** Oldest offset kept. */
  get earliestOffset (): number {
    return this._records[0]?.offset ?? this._nextOffset
  }

  /** Appends records and returns the first one's offset. */
  append (records: readonly unknown[]): number {
    const first = this._nextOffset
    for (const record of records) this._records.push({ offset: this._nextOffset++, record })
    this.appends += 1
    const waiters = this._waiters
    this._waiters = []
    for (const wake of waiters) wake()
    return first
  }

  /** Records from an offset on. */
  read (from: number, limit: number): StoredRecord[] {
    const index = Math.max(0, from - this.earliestOffset)
    return this._records.slice(index, index + limit)
  }

  /** Cuts all but the newest records off. */
  retain (count: number): void {
    if (count > 0 && this._records.length > count) this._records = this._records.slice(-count)
  }

  /** Resolves at the next append. */
  nextAppend (): Promise<void> {
    return new Promise(resolve => this._waiters.push(resolve))
  }
}
