/**
 * A partition of a topic in the emulated log store.
 */

/** A record and its offset. */
interface StoredRecord {
  readonly offset: number
  readonly bytes: Buffer
}

/** State of a producer. */
interface Producer {
  epoch: number
  sequence: number
  /** Results of the newest appends, by sequence number. */
  readonly results: Map<number, { offset: number, end_offset: number }>
}

/** Number of newest appends of a producer whose results are kept to answer retries. */
const RETAINED_APPEND_RESULTS = 5

/** Size of the key length at the start of a keyed record. */
const KEY_LENGTH_BYTES = 1

/** Checks the epoch and sequence of each producer's appends, and keeps the newest record of each key through compaction. */
export class EmulatedPartition {
  private _records: StoredRecord[] = []
  private _endOffset = 0
  private _firstOffset = 0
  private readonly _producers = new Map<string, Producer>()
  private readonly _newestRecords = new Map<string, StoredRecord>()

  constructor (private readonly _isKeyed: boolean) {}

  /** Offset of the next record to be appended. */
  get endOffset (): number {
    return this._endOffset
  }

  /** Offset of the first record that is still kept. */
  get firstOffset (): number {
    return this._firstOffset
  }

  /** Appends records and returns the status and body of the response. */
  append (records: readonly Buffer[], query: URLSearchParams): { status: number, body: object } {
    if (query.has('at') && Number(query.get('at')) !== this._endOffset) return { status: 412, body: { end_offset: this._endOffset } }
    const name = query.get('producer')
    if (name === null) return { status: 200, body: this._appendRecords(records) }
    const epoch = Number(query.get('epoch'))
    const sequence = Number(query.get('seq'))
    const known = this._producers.get(name)
    if (known && epoch < known.epoch) return { status: 409, body: { reason: 'fenced' } }
    const producer = known && known.epoch === epoch ? known : { epoch, sequence: sequence - 1, results: new Map() }
    this._producers.set(name, producer)
    const firstResult = producer.results.get(sequence)
    if (firstResult) return { status: 200, body: firstResult }
    if (sequence !== producer.sequence + 1) return { status: 409, body: { reason: 'seq', seq: producer.sequence + 1 } }
    const result = this._appendRecords(records)
    producer.sequence = sequence
    producer.results.set(sequence, result)
    producer.results.delete(sequence - RETAINED_APPEND_RESULTS)
    return { status: 200, body: result }
  }

  /** Returns the records from an offset on, or null if some of them have been discarded. */
  read (from: number): readonly Buffer[] | null {
    if (from < this._firstOffset) return null
    return this._records.filter(({ offset }) => offset >= from).map(({ bytes }) => bytes)
  }

  /** Returns the newest record of each key, sorted by key. */
  newestRecords (): { key: string, value: Buffer, offset: number }[] {
    return [...this._newestRecords].sort(([left], [right]) => left < right ? -1 : 1).map(([key, { offset, bytes }]) => ({ key, value: this._valueOf(bytes), offset }))
  }

  /** Discards all records except the newest one of each key. */
  compact (): void {
    this._records = []
    this._firstOffset = this._endOffset
  }

  private _appendRecords (records: readonly Buffer[]): { offset: number, end_offset: number } {
    const offset = this._endOffset
    for (const bytes of records) {
      const record = { offset: this._endOffset, bytes }
      this._records.push(record)
      this._endOffset += 1
      if (this._isKeyed) this._indexByKey(record)
    }
    return { offset, end_offset: this._endOffset }
  }

  private _indexByKey (record: StoredRecord): void {
    const key = record.bytes.subarray(KEY_LENGTH_BYTES, KEY_LENGTH_BYTES + record.bytes.readUInt8(0)).toString('utf8')
    if (this._valueOf(record.bytes).length === 0) this._newestRecords.delete(key)
    else this._newestRecords.set(key, record)
  }

  private _valueOf (bytes: Buffer): Buffer {
    return bytes.subarray(KEY_LENGTH_BYTES + bytes.readUInt8(0))
  }
}
