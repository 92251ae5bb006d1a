/**
 * Log lines that stand for many entries.
 */
import type { Clock } from '../supervision/clock.js'
import type { DecisionLog } from './decision-log.js'

/** Limit on the bytes of a line, with what every line has. */
const MAXIMUM_LINE_BYTES = 4_096

/** Bytes of a line that are left to its fields other than the entries, and to the name of the process and the event. */
const OTHER_FIELD_BYTES = 512

/** Limit on the bytes of the entries of a line. */
const MAXIMUM_ENTRY_BYTES = MAXIMUM_LINE_BYTES - OTHER_FIELD_BYTES

/** Lines that may be written at once after a quiet time. */
const BURST_LINES = 10

/** Fields that all entries of a line share. */
type SharedFields = Readonly<Record<string, string | number>>

/** Entries that have not been written yet. */
interface Batch {
  readonly fields: SharedFields
  entries: string[]
  bytes: number
}

/**
 * Collects entries, and writes those with the same fields on one line. At more than a number of lines per second, entries wait for those that follow, so that the number of
 * lines is bounded and none is dropped; a line that is full is always written.
 */
export class LineBatches {
  private readonly _batches = new Map<string, Batch>()
  private _availableLines = BURST_LINES
  private _refilledAt = 0

  /** @param _listName name of the field with the entries. */
  constructor (private readonly _event: string, private readonly _listName: string, private readonly _linesPerSecond: number, private readonly _clock: Clock, private readonly _log: DecisionLog) {}

  /** Adds what a heading stands for; items that don't fit on one line continue under the same heading on the next one. */
  add (fields: SharedFields, heading: string, items: readonly string[]): void {
    const key = JSON.stringify(fields)
    const batch = this._batches.get(key) ?? { fields, entries: [], bytes: 0 }
    this._batches.set(key, batch)
    const headingBytes = this._bytes(heading)
    let fitting: string[] = []
    let bytes = headingBytes
    for (const item of items) {
      const itemBytes = this._bytes(item)
      if (fitting.length > 0 && bytes + itemBytes > MAXIMUM_ENTRY_BYTES) {
        this._addEntry(batch, `${heading} ${fitting.join(', ')}`)
        fitting = []
        bytes = headingBytes
      }
      fitting.push(item)
      bytes += itemBytes
    }
    if (fitting.length > 0) this._addEntry(batch, `${heading} ${fitting.join(', ')}`)
  }

  /** Writes what has been collected, as far as the number of lines per second allows. */
  write (): void {
    this._refill()
    for (const [key, batch] of this._batches) {
      if (this._availableLines < 1) return
      this._availableLines -= 1
      this._writeLine(batch)
      this._batches.delete(key)
    }
  }

  /** Writes everything that has been collected. */
  writeAll (): void {
    for (const batch of this._batches.values()) this._writeLine(batch)
    this._batches.clear()
  }

  private _addEntry (batch: Batch, entry: string): void {
    const bytes = this._bytes(entry)
    if (batch.entries.length > 0 && batch.bytes + bytes > MAXIMUM_ENTRY_BYTES) this._writeLine(batch)
    batch.entries.push(entry)
    batch.bytes += bytes
  }

  private _writeLine (batch: Batch): void {
    if (batch.entries.length > 0) this._log.emit(this._event, { ...batch.fields, [this._listName]: batch.entries })
    batch.entries = []
    batch.bytes = 0
  }

  /** Bytes of a part of a line, with its separator. */
  private _bytes (part: string): number {
    return Buffer.byteLength(JSON.stringify(part)) + 1
  }

  private _refill (): void {
    const now = this._clock.now()
    const refilled = Math.max(0, now - this._refilledAt) * this._linesPerSecond / 1_000
    this._availableLines = Math.min(BURST_LINES, this._availableLines + refilled)
    this._refilledAt = now
  }
}
