/**
 * The emulated log store of the users' platform.
 */
import type { Clock } from '../../src/supervision/clock.js'
import { Notifier } from '../../src/supervision/notifier.js'
import { EmulatedConsumerGroup } from './emulated-consumer-group.js'
import { EmulatedPartition } from './emulated-partition.js'
import { RateLimiter } from './rate-limiter.js'

/** Size of the length field before each record. */
const RECORD_LENGTH_BYTES = 4

/** Size of a page header, which holds the end offset and the first offset. */
const PAGE_HEADER_BYTES = 16

/** Maximum rates of writes and reads, each from all processes together. */
const WRITES_PER_SECOND = 800
const READS_PER_SECOND = 2_000

/** Weight of a consumer group call in the write limit; an append has weight 1. */
const GROUP_CALL_WEIGHT = 0.1

/** Duration of an append, in milliseconds; a partition executes one append at a time. */
const APPEND_MILLISECONDS = 4

/** Maximum time that an append waits in the queue of its partition, in milliseconds; an append that would wait longer is refused. */
const MAXIMUM_QUEUE_MILLISECONDS = 2_000

/** Maximum page size of a read that doesn't specify one, in kilobytes. */
const DEFAULT_PAGE_KILOBYTES = 1_024

/** Maximum number of rows in a page of newest records. */
const NEWEST_PAGE_ROWS = 500

/** A response of the store. */
interface StoreResponse {
  readonly status: number
  readonly body: Buffer | object
}

/** Holds topics, partitions and consumer groups, and applies the store's limits on call rates and on appends to a partition. */
export class EmulatedStore {
  /** Number of appends executed. */
  appends = 0
  private readonly _partitions = new Map<string, EmulatedPartition>()
  private readonly _groups = new Map<string, EmulatedConsumerGroup>()
  private readonly _appended = new Notifier()
  private readonly _writeLimiter: RateLimiter
  private readonly _readLimiter: RateLimiter
  /** Epoch milliseconds until which each partition is busy with appends. */
  private readonly _busyUntil = new Map<EmulatedPartition, number>()

  constructor (private readonly _clock: Clock) {
    this._writeLimiter = new RateLimiter(_clock, WRITES_PER_SECOND)
    this._readLimiter = new RateLimiter(_clock, READS_PER_SECOND)
  }

  /** Returns a partition and creates it on first use. */
  partition (topic: string, number = 0): EmulatedPartition {
    const key = `${topic}/${number}`
    const partition = this._partitions.get(key) ?? new EmulatedPartition(topic.startsWith('keyed.'))
    this._partitions.set(key, partition)
    return partition
  }

  /** Returns a consumer group and creates it on first use. */
  group (name: string): EmulatedConsumerGroup {
    const group = this._groups.get(name) ?? new EmulatedConsumerGroup()
    this._groups.set(name, group)
    return group
  }

  /** Appends a keyed record, as operators and workers do; null deletes the key. */
  put (topic: string, key: string, value: object | null): void {
    this.putBytes(topic, key, Buffer.from(value === null ? '' : JSON.stringify(value)))
  }

  /** Appends a keyed record of any bytes, as another writer does. */
  putBytes (topic: string, key: string, value: Buffer): void {
    const keyBytes = Buffer.from(key)
    this.partition(topic).append([Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value])], new URLSearchParams())
    this._appended.notify()
  }

  /** Executes a call and returns its response. */
  async handle (call: string, query: URLSearchParams, body: Buffer): Promise<StoreResponse> {
    const partition = this.partition(query.get('topic') ?? '', Number(query.get('part') ?? 0))
    if (!this._tryAcquireRate(call)) return { status: 429, body: {} }
    switch (call) {
      case 'log-append': return this._append(partition, query, body)
      case 'log-read': return this._read(partition, query)
      case 'log-newest': return this._readNewest(partition, query)
      case 'log-join': {
        const { group, member, topics, ttl_ms: expiryMilliseconds, generation } = JSON.parse(body.toString()) as { group: string, member: string, topics: string[], ttl_ms: number, generation: number }
        return { status: 200, body: this.group(group).join(member, topics, expiryMilliseconds, generation, this._clock.now()) }
      }
      case 'log-leave': {
        const { group, member } = JSON.parse(body.toString()) as { group: string, member: string }
        this.group(group).leave(member)
        return { status: 200, body: {} }
      }
      default: return { status: 404, body: {} }
    }
  }

  /** Counts a call and returns true if it is within its rate limit; a refused call doesn't count. */
  private _tryAcquireRate (call: string): boolean {
    if (call === 'log-read' || call === 'log-newest') return this._readLimiter.tryAcquire()
    return this._writeLimiter.tryAcquire(call === 'log-append' ? 1 : GROUP_CALL_WEIGHT)
  }

  private async _append (partition: EmulatedPartition, query: URLSearchParams, body: Buffer): Promise<StoreResponse> {
    const now = this._clock.now()
    const startsAt = Math.max(now, this._busyUntil.get(partition) ?? 0)
    if (startsAt > now + MAXIMUM_QUEUE_MILLISECONDS) return { status: 503, body: {} }
    this._busyUntil.set(partition, startsAt + APPEND_MILLISECONDS)
    await this._clock.sleepUntil(startsAt + APPEND_MILLISECONDS)
    this.appends += 1
    const result = partition.append(this._decodeRecords(body), query)
    this._appended.notify()
    return result
  }

  private async _read (partition: EmulatedPartition, query: URLSearchParams): Promise<StoreResponse> {
    const from = Number(query.get('from'))
    const deadline = this._clock.now() + Number(query.get('wait_ms') ?? 0)
    while (partition.endOffset <= from && this._clock.now() < deadline) await this._appended.wait(this._clock, deadline)
    const records = partition.read(from)
    if (!records) return { status: 410, body: { first_offset: partition.firstOffset } }
    const maximumBytes = Number(query.get('max_kb') ?? DEFAULT_PAGE_KILOBYTES) * 1_024
    let size = 0
    // A page holds at least one record, even one that exceeds the page size.
    const page = records.filter((bytes, index) => {
      size += bytes.length
      return index === 0 || size <= maximumBytes
    })
    const header = Buffer.alloc(PAGE_HEADER_BYTES)
    header.writeBigUInt64BE(BigInt(partition.endOffset), 0)
    header.writeBigUInt64BE(BigInt(partition.firstOffset), PAGE_HEADER_BYTES / 2)
    return { status: 200, body: Buffer.concat([header, ...page.flatMap(bytes => [this._encodeLength(bytes), bytes])]) }
  }

  private _readNewest (partition: EmulatedPartition, query: URLSearchParams): StoreResponse {
    const after = query.get('after') ?? ''
    const rows = partition.newestRecords().filter(({ key }) => key > after)
    const items = rows.slice(0, NEWEST_PAGE_ROWS).map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }))
    return { status: 200, body: { items, more: rows.length > NEWEST_PAGE_ROWS, end_offset: partition.endOffset } }
  }

  private _decodeRecords (body: Buffer): Buffer[] {
    const records: Buffer[] = []
    for (let position = 0; position < body.length;) {
      const end = position + RECORD_LENGTH_BYTES + body.readUInt32BE(position)
      records.push(Buffer.from(body.subarray(position + RECORD_LENGTH_BYTES, end)))
      position = end
    }
    return records
  }

  private _encodeLength (bytes: Buffer): Buffer {
    const length = Buffer.alloc(RECORD_LENGTH_BYTES)
    length.writeUInt32BE(bytes.length, 0)
    return length
  }
}
