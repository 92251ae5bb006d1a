/**
 * Stand-in of the platform's metadata store: keyed topics with one partition each.
 */

/** Time that an append takes, in milliseconds; a partition executes one append at a time. */
const APPEND_MS = 4

/** Limits of one record and of one call, in bytes. */
const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152

/** Maximum number of rows in a page of newest records. */
const NEWEST_ROWS = 500

/** Number of newest appends of a producer whose responses are repeated. */
const REPEATED_APPENDS = 5

const LENGTH_BYTES = 4
const DEFAULT_PAGE_KB = 1_024

const sleep = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

/** One partition of a keyed topic. */
class Partition {
  records = []
  newest = new Map()
  producers = new Map()
  waiters = new Set()
  queue = Promise.resolve()

  /** Adds records and returns the response of their append. */
  add (records) {
    const offset = this.records.length
    for (const bytes of records) {
      const keyLength = bytes.length > 0 ? bytes.readUInt8(0) : 0
      const key = bytes.subarray(1, 1 + keyLength).toString()
      const value = bytes.subarray(1 + keyLength)
      if (value.length === 0) this.newest.delete(key)
      else this.newest.set(key, { offset: this.records.length, value })
      this.records.push(bytes)
    }
    for (const wake of this.waiters) wake()
    this.waiters.clear()
    return { offset, end_offset: this.records.length }
  }

  /** Executes an append; its conditions are checked at this moment. */
  append (records, query) {
    const end = this.records.length
    const name = query.get('producer')
    if (name === null) return query.has('at') && Number(query.get('at')) !== end ? { status: 412, body: { end_offset: end } } : { status: 200, body: this.add(records) }
    const epoch = Number(query.get('epoch'))
    const sequence = Number(query.get('seq'))
    const known = this.producers.get(name)
    if (known && epoch < known.epoch) return { status: 409, body: { reason: 'fenced' } }
    const repeated = known?.epoch === epoch ? known.responses.get(sequence) : undefined
    if (repeated) return { status: 200, body: repeated }
    if (query.has('at') && Number(query.get('at')) !== end) return { status: 412, body: { end_offset: end } }
    if (known?.epoch === epoch && sequence !== known.sequence + 1) return { status: 409, body: { reason: 'seq', seq: known.sequence + 1 } }
    const producer = known?.epoch === epoch ? known : { epoch, sequence, responses: new Map() }
    producer.sequence = sequence
    this.producers.set(name, producer)
    const body = this.add(records)
    producer.responses.set(sequence, body)
    producer.responses.delete(sequence - REPEATED_APPENDS)
    return { status: 200, body }
  }
}

/** The store. Each process calls it at an address of its own, so that the store knows the caller. */
export class Store {
  /** Name of the process that last wrote under a condition. */
  lastConditionalWriter = ''

  /**
   * Decides what becomes of an append: null to serve it, or the time in milliseconds after which it is executed without a response.
   *
   * @type {(caller: string, topic: string, keys: string[]) => number | null}
   */
  lateAppend = () => null
  #partitions = new Map()

  /** Returns a topic's partition. */
  partition (topic) {
    const partition = this.#partitions.get(topic) ?? new Partition()
    this.#partitions.set(topic, partition)
    return partition
  }

  /** Writes a record as the operator or a minion does. */
  put (topic, key, value) {
    this.partition(topic).add([this.#record(key, value === null ? '' : JSON.stringify(value))])
  }

  /** Executes a call; returns null if it gets no response. */
  async handle (caller, url, body) {
    const call = url.pathname.split('/').pop()
    const partition = this.partition(url.searchParams.get('topic') ?? '')
    if (call === 'log-append') return this.#append(caller, partition, url.searchParams, body)
    if (call === 'log-read') return this.#read(partition, url.searchParams)
    if (call === 'log-newest') return this.#readNewest(partition, url.searchParams)
    return { status: 404, body: {} }
  }

  async #append (caller, partition, query, body) {
    const records = this.#decode(body)
    if (body.length > CALL_BYTES || records.some(bytes => bytes.length > RECORD_BYTES)) return { status: 400, body: { error: 'too large' } }
    const lateMs = this.lateAppend(caller, query.get('topic'), records.map(bytes => bytes.subarray(1, 1 + bytes.readUInt8(0)).toString()))
    if (lateMs !== null) {
      setTimeout(() => { partition.append(records, query) }, lateMs)
      return null
    }
    const turn = partition.queue.then(() => sleep(APPEND_MS))
    partition.queue = turn
    await turn
    const response = partition.append(records, query)
    if (query.has('producer') && response.status === 200) this.lastConditionalWriter = caller
    return response
  }

  async #read (partition, query) {
    const from = Number(query.get('from'))
    const deadline = Date.now() + Number(query.get('wait_ms') ?? 0)
    while (partition.records.length <= from && Date.now() < deadline) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, deadline - Date.now())
        partition.waiters.add(() => { clearTimeout(timer); resolve() })
      })
    }
    const maximumBytes = Number(query.get('max_kb') ?? DEFAULT_PAGE_KB) * 1_024
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(BigInt(partition.records.length), 0)
    const parts = [header]
    let size = 0
    // A page has at least one record, if there is one.
    for (const bytes of partition.records.slice(from)) {
      size += bytes.length + LENGTH_BYTES
      if (size > maximumBytes && parts.length > 1) break
      parts.push(this.#length(bytes), bytes)
    }
    return { status: 200, body: Buffer.concat(parts) }
  }

  #readNewest (partition, query) {
    const after = query.get('after') ?? ''
    const rows = [...partition.newest].filter(([key]) => key > after).sort(([left], [right]) => left < right ? -1 : 1)
    const items = rows.slice(0, NEWEST_ROWS).map(([key, { offset, value }]) => ({ key, value: value.toString('base64'), offset }))
    return { status: 200, body: { items, more: rows.length > NEWEST_ROWS, end_offset: partition.records.length } }
  }

  #record (key, text) {
    return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(text)])
  }

  #length (bytes) {
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(bytes.length, 0)
    return length
  }

  #decode (body) {
    const records = []
    for (let position = 0; position < body.length;) {
      const end = position + LENGTH_BYTES + body.readUInt32BE(position)
      records.push(body.subarray(position + LENGTH_BYTES, end))
      position = end
    }
    return records
  }
}
