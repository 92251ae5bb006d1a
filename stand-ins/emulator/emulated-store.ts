/**
 * The emulated log store.
 */
import type { Clock } from '../../src/supervision/clock.js'
import { Notifier } from '../../src/supervision/notifier.js'
import { CallRate } from './call-rate.js'
import { EmulatedGroup } from './emulated-group.js'
import { EmulatedPartition } from './emulated-partition.js'

/** Bytes of a record's length. */
const LENGTH_BYTES = 4

/** Bytes of a page's head. */
const HEAD_BYTES = 16

/** Calls a second that the store takes from all processes together. */
const WRITES_PER_SECOND = 800
const READS_PER_SECOND = 2_000

/** Part of a write that a call to a group counts as. */
const GROUP_WEIGHT = 0.1

/** Time that an append takes in its partition, which carries them out one at a time, in milliseconds. */
const APPEND_MILLISECONDS = 4

/** Longest queue of a partition, in milliseconds; appends beyond it are refused. */
const QUEUE_MILLISECONDS = 2_000

/** Largest page of a read that names none, in kilobytes. */
const DEFAULT_PAGE_KILOBYTES = 1_024

/** Most rows of one page of newest records. */
const NEWEST_ROWS = 500

/** An answer of the store. */
interface StoreAnswer {
  readonly status: number
  readonly body: Buffer | object
}

/** Topics, partitions and groups, with the store's limits on calls and on the pace of a partition. */
export class EmulatedStore {
  /** Appends carried out. */
  appends = 0
  private readonly _partitions = new Map<string, EmulatedPartition>()
  private readonly _groups = new Map<string, EmulatedGroup>()
  private readonly _appended = new Notifier()
  private readonly _writes: CallRate
  private readonly _reads: CallRate
  /** Epoch milliseconds until which each partition is busy with appends. */
  private readonly _busyUntil = new Map<EmulatedPartition, number>()

  constructor (private readonly _clock: Clock) {
    this._writes = new CallRate(_clock, WRITES_PER_SECOND)
    this._reads = new CallRate(_clock, READS_PER_SECOND)
  }

  /** A partition, made on first use. */
  partition (topic: string, number = 0): EmulatedPartition {
    const key = `${topic}/${number}`
    const partition = this._partitions.get(key) ?? new EmulatedPartition(topic.startsWith('keyed.'))
    this._partitions.set(key, partition)
    return partition
  }

  /** A group, made on first use. */
  group (name: string): EmulatedGroup {
    const group = this._groups.get(name) ?? new EmulatedGroup()
    this._groups.set(name, group)
    return group
  }

  /** Writes a keyed record, as operators and workers do. */
  put (topic: string, key: string, value: object | null): void {
    const keyBytes = Buffer.from(key)
    const text = Buffer.from(value === null ? '' : JSON.stringify(value))
    this.partition(topic).append([Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, text])], new URLSearchParams())
    this._appended.notify()
  }

  /** Serves a call. */
  async handle (call: string, query: URLSearchParams, body: Buffer): Promise<StoreAnswer> {
    const partition = this.partition(query.get('topic') ?? '', Number(query.get('part') ?? 0))
    if (!this._isWithinRates(call)) return { status: 429, body: {} }
    switch (call) {
      case 'log-append': return this._append(partition, query, body)
      case 'log-read': return this._read(partition, query)
      case 'log-newest': return this._newest(partition, query)
      case 'log-join': {
        const { group, member, topics, ttl_ms: lifetime, generation } = JSON.parse(body.toString()) as { group: string, member: string, topics: string[], ttl_ms: number, generation: number }
        return { status: 200, body: this.group(group).join(member, topics, lifetime, generation, this._clock.now()) }
      }
      case 'log-leave': {
        const { group, member } = JSON.parse(body.toString()) as { group: string, member: string }
        this.group(group).leave(member)
        return { status: 200, body: {} }
      }
      default: return { status: 404, body: {} }
    }
  }

  private _isWithinRates (call: string): boolean {
    if (call === 'log-read' || call === 'log-newest') return this._reads.take()
    return this._writes.take(call === 'log-append' ? 1 : GROUP_WEIGHT)
  }

  private async _append (partition: EmulatedPartition, query: URLSearchParams, body: Buffer): Promise<StoreAnswer> {
    const now = this._clock.now()
    const startsAt = Math.max(now, this._busyUntil.get(partition) ?? 0)
    if (startsAt > now + QUEUE_MILLISECONDS) return { status: 503, body: {} }
    this._busyUntil.set(partition, startsAt + APPEND_MILLISECONDS)
    await this._clock.sleepUntil(startsAt + APPEND_MILLISECONDS)
    this.appends += 1
    const answer = partition.append(this._records(body), query)
    this._appended.notify()
    return answer
  }

  private async _read (partition: EmulatedPartition, query: URLSearchParams): Promise<StoreAnswer> {
    const from = Number(query.get('from'))
    const deadline = this._clock.now() + Number(query.get('wait_ms') ?? 0)
    while (partition.end <= from && this._clock.now() < deadline) await this._appended.wait(this._clock, deadline)
    const records = partition.read(from)
    if (!records) return { status: 410, body: { first_offset: partition.first } }
    const most = Number(query.get('max_kb') ?? DEFAULT_PAGE_KILOBYTES) * 1_024
    let size = 0
    // At least one record, however large.
    const page = records.filter((bytes, index) => {
      size += bytes.length
      return index === 0 || size <= most
    })
    const head = Buffer.alloc(HEAD_BYTES)
    head.writeBigUInt64BE(BigInt(partition.end), 0)
    head.writeBigUInt64BE(BigInt(partition.first), HEAD_BYTES / 2)
    return { status: 200, body: Buffer.concat([head, ...page.flatMap(bytes => [this._length(bytes), bytes])]) }
  }

  private _newest (partition: EmulatedPartition, query: URLSearchParams): StoreAnswer {
    const after = query.get('after') ?? ''
    const rows = partition.newest().filter(({ key }) => key > after)
    const items = rows.slice(0, NEWEST_ROWS).map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }))
    return { status: 200, body: { items, more: rows.length > NEWEST_ROWS, end_offset: partition.end } }
  }

  private _records (body: Buffer): Buffer[] {
    const records: Buffer[] = []
    for (let at = 0; at < body.length;) {
      const end = at + LENGTH_BYTES + body.readUInt32BE(at)
      records.push(Buffer.from(body.subarray(at + LENGTH_BYTES, end)))
      at = end
    }
    return records
  }

  private _length (bytes: Buffer): Buffer {
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(bytes.length, 0)
    return length
  }
}
