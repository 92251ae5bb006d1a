/**
 * A client for one keyed topic of the platform's log store.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import { AdaptivePageSize } from '../feeds/adaptive-page-size.js'
import type { FeedChange } from '../feeds/feed-change.js'
import { FeedError } from '../feeds/feed-error.js'
import type { FeedPage } from '../feeds/feed-page.js'
import type { JournalFence } from '../jobs/journal-fence.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import type { CallClient } from './call-client.js'
import { KeyedRecordCodec } from './keyed-record-codec.js'
import type { KeyedRecord } from './keyed-record.js'
import { parseJson } from './parse-json.js'

/** The only partition that is used. */
const PARTITION = 0

/** Producer name shared by all owners: the store fences a producer's earlier terms. */
const OWNER_PRODUCER = 'owner'

/** Time beyond the wait of a long poll until its response must have arrived, in milliseconds. A slow store takes 250 ms to respond. */
const LONG_POLL_GRACE_PERIOD_MILLISECONDS = 1_000

/** Timeout for one page of the newest records, in milliseconds: covers 1 MB over the slowest link (7 Mbit/s) from a slow store. */
const PAGE_TIMEOUT_MILLISECONDS = 4_000

/** Maximum page size of a read in kilobytes: takes a third of the grace period on the slowest link (7 Mbit/s), which other reads share. */
const MAXIMUM_PAGE_KILOBYTES = 256

/** Minimum page size in kilobytes: takes 20 ms on the slowest link, and has more than ten records of usual size. */
const MINIMUM_PAGE_KILOBYTES = 16

/** Page size for a record that doesn't fit into such a page, in kilobytes: a record may have 256 KB without its length. */
const LARGE_PAGE_KILOBYTES = 1_024

/** Size of the header of a page in bytes: end offset of the topic and first retained offset. */
const PAGE_HEADER_BYTES = 16

const AppendResponse = z.object({ offset: z.number() })
const RefusalResponse = z.object({ reason: z.string().optional() })
const NewestItem = z.object({ key: z.string(), value: z.string(), offset: z.number() })
const NewestResponse = z.object({ items: z.array(z.unknown()), more: z.boolean(), end_offset: z.number() })

/** Reads and appends keyed records. A record with an empty value deletes its key. */
export class KeyedTopic {
  private readonly _query: string
  private readonly _pageSize = new AdaptivePageSize(MINIMUM_PAGE_KILOBYTES, MAXIMUM_PAGE_KILOBYTES)

  /** @param name name of the topic. */
  constructor (private readonly _client: CallClient, readonly name: string, private readonly _clock: Clock, private readonly _log: DecisionLog) {
    this._query = `topic=${name}&part=${PARTITION}`
  }

  /** Reads the newest record of each key, page by page. */
  async newest (signal: AbortSignal): Promise<Either<FeedError, FeedPage<KeyedRecord>>> {
    const changes: Array<FeedChange<KeyedRecord>> = []
    let next: number | null = null
    for (let after = ''; ;) {
      const path = `/samphireglade/log-newest?${this._query}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`
      const response = await this._client.call({ method: 'GET', path, deadline: this._clock.now() + PAGE_TIMEOUT_MILLISECONDS, signal })
      if (response.isLeft()) return Left(new FeedError('unknown', (response.extract() as Error).message))
      const { status, body } = response.unsafeCoerce()
      // The topic has not been written to yet.
      if (status === 404) return Right({ changes: [], next: 0, end: 0 })
      if (status !== 200) return Left(new FeedError('refused', `the store returned status ${status}`))
      const page = parseJson(NewestResponse, body)
      if (page.isLeft()) return Left(new FeedError('invalid', page.extract() as string))
      const { items, more, end_offset: end } = page.unsafeCoerce()
      const rows = this._readableItems(items)
      for (const { key, value, offset } of rows) changes.push({ offset, value: { key, value: Buffer.from(value, 'base64') } })
      // The pages are not a consistent snapshot: reading continues from the end offset of the first page, so later records are read again.
      next ??= end
      if (!more) return Right({ changes, next, end })
      // A lone surrogate can't stand in a path.
      const last = Buffer.from(rows[rows.length - 1]?.key ?? '', 'utf8').toString('utf8')
      if (last === '' || last === after) return Left(new FeedError('invalid', `no record follows the key ${after}, although more are announced`))
      after = last
    }
  }

  /** One item of another form doesn't make the others unreadable. */
  private _readableItems (items: unknown[]): Array<z.infer<typeof NewestItem>> {
    const rows = items.flatMap(item => NewestItem.safeParse(item).data ?? [])
    if (rows.length < items.length) this._log.emit('records not read', { topic: this.name, count: items.length - rows.length, cause: 'the store listed them in an unknown form' })
    return rows
  }

  /** Reads records from an offset on; waits for one until `waitDeadline` (epoch milliseconds). */
  async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<FeedError, FeedPage<KeyedRecord>>> {
    const size = this._pageSize.kilobytes
    const page = await this._readPage(offset, waitDeadline, size, signal)
    if (!this._isCut(page)) {
      page.ifRight(({ next, end }) => { if (next < end) this._pageSize.recordFullPage() })
      return page
    }
    // The record is larger than the page: a page that is larger than it has to be may not arrive in time.
    this._pageSize.recordFullPage()
    for (const kilobytes of [MAXIMUM_PAGE_KILOBYTES, LARGE_PAGE_KILOBYTES].filter(larger => larger > size)) {
      const largePage = await this._readPage(offset, waitDeadline, kilobytes, signal)
      if (!this._isCut(largePage)) return largePage
    }
    return Left(new FeedError('invalid', `the record at offset ${offset} does not fit into a page`))
  }

  /** Whether a page has no whole record although there are some. */
  private _isCut (page: Either<FeedError, FeedPage<KeyedRecord>>): boolean {
    return page.map(({ changes, next, end }) => changes.length === 0 && end > next).orDefault(false)
  }

  private async _readPage (offset: number, waitDeadline: number, kilobytes: number, signal: AbortSignal): Promise<Either<FeedError, FeedPage<KeyedRecord>>> {
    const waitMilliseconds = Math.max(0, Math.round(waitDeadline - this._clock.now()))
    const path = `/samphireglade/log-read?${this._query}&from=${offset}&max_kb=${kilobytes}&wait_ms=${waitMilliseconds}`
    const deadline = waitDeadline + LONG_POLL_GRACE_PERIOD_MILLISECONDS
    const response = await this._client.call({ method: 'GET', path, deadline, signal })
    if (response.isLeft()) {
      if (this._clock.now() >= deadline) this._pageSize.recordTimeout()
      return Left(new FeedError('unknown', (response.extract() as Error).message))
    }
    const { status, body } = response.unsafeCoerce()
    if (status === 410) return Left(new FeedError('cut', `records from offset ${offset} on have been deleted`))
    if (status === 404) return Right({ changes: [], next: offset, end: offset })
    if (status !== 200 || body.length < PAGE_HEADER_BYTES) return Left(new FeedError('refused', `the store returned status ${status}`))
    const values = KeyedRecordCodec.decode(body.subarray(PAGE_HEADER_BYTES))
    const changes = values.map((value, index) => ({ offset: offset + index, value }))
    return Right({ changes, next: offset + values.length, end: Number(body.readBigUInt64BE(0)) })
  }

  /**
   * Appends all records atomically and returns the offset of the first.
   *
   * @param fence proof of the owner's term, or null for records that any process may write.
   */
  async append (records: readonly KeyedRecord[], fence: JournalFence | null, deadline: number, signal: AbortSignal): Promise<Either<FeedError, number>> {
    const producerQuery = fence ? `&producer=${OWNER_PRODUCER}&epoch=${fence.term}&seq=${fence.sequence}${fence.expectedEnd === undefined ? '' : `&at=${fence.expectedEnd}`}` : ''
    const path = `/samphireglade/log-append?${this._query}${producerQuery}`
    const response = await this._client.call({ method: 'POST', path, body: KeyedRecordCodec.encode(records), deadline, signal })
    if (response.isLeft()) {
      const failure = response.extract() as Error & { kind: string }
      return Left(new FeedError(failure.kind === 'unsent' ? 'refused' : 'unknown', failure.message))
    }
    const { status, body } = response.unsafeCoerce()
    if (status === 412) return Left(new FeedError('moved', 'the topic does not end at the expected offset'))
    if (status === 409) {
      const reason = parseJson(RefusalResponse, body).toMaybe().chainNullable(refused => refused.reason).orDefault('')
      return Left(new FeedError(reason === 'fenced' ? 'fenced' : 'misordered', `the store refused the append: ${reason}`))
    }
    if (status === 429 || status === 503 || status === 507) return Left(new FeedError('refused', `the store returned status ${status}`))
    if (status !== 200) return Left(new FeedError(status >= 500 ? 'unknown' : 'invalid', `the store returned status ${status}`))
    return parseJson(AppendResponse, body).bimap(message => new FeedError('unknown', message), ({ offset }) => offset)
  }
}
