/**
 * One keyed topic of the platform's log store.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { FeedChange } from '../feeds/feed-change.js'
import { FeedError } from '../feeds/feed-error.js'
import type { FeedPage } from '../feeds/feed-page.js'
import type { JournalFence } from '../jobs/journal-fence.js'
import type { Clock } from '../supervision/clock.js'
import type { CallClient } from './call-client.js'
import { KeyedRecordCodec } from './keyed-record-codec.js'
import type { KeyedRecord } from './keyed-record.js'
import { parseJson } from './parse-json.js'

/** The only partition in use. */
const PARTITION = 0

/** Name under which owners append; the store orders their terms by it. */
const OWNER_PRODUCER = 'owner'

/** Allowance for the answer to a long poll beyond the wait itself, in milliseconds: a slow store takes a quarter of a second. */
const ANSWER_ALLOWANCE_MILLISECONDS = 1_000

/** Limit on one page of the newest records, in milliseconds: a megabyte over the narrowest link, 7 Mbit/s, and a slow store. */
const PAGE_TIMEOUT_MILLISECONDS = 4_000

/** Largest page of a read in kilobytes: it passes the narrowest link, 7 Mbit/s, in a third of the allowance, beside other reads. */
const PAGE_KILOBYTES = 256

/** Bytes before the records of a page: the end and the first kept offset. */
const PAGE_HEAD_BYTES = 16

const Appended = z.object({ offset: z.number() })
const Refused = z.object({ reason: z.string().optional() })
const Newest = z.object({
  items: z.array(z.object({ key: z.string(), value: z.string(), offset: z.number() })),
  more: z.boolean(),
  end_offset: z.number()
})

/** Reads and appends records, each a key with a value; a record without a value drops its key. */
export class KeyedTopic {
  private readonly _query: string

  constructor (private readonly _client: CallClient, topic: string, private readonly _clock: Clock) {
    this._query = `topic=${topic}&part=${PARTITION}`
  }

  /** The newest record of each key, page by page. */
  async newest (signal: AbortSignal): Promise<Either<FeedError, FeedPage<KeyedRecord>>> {
    const changes: Array<FeedChange<KeyedRecord>> = []
    let next: number | null = null
    for (let after = ''; ;) {
      const path = `/samphireglade/log-newest?${this._query}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`
      const answer = await this._client.call({ method: 'GET', path, deadline: this._clock.now() + PAGE_TIMEOUT_MILLISECONDS, signal })
      if (answer.isLeft()) return Left(new FeedError('unknown', (answer.extract() as Error).message))
      const { status, body } = answer.unsafeCoerce()
      // A topic that nobody has written to yet.
      if (status === 404) return Right({ changes: [], next: 0, end: 0 })
      if (status !== 200) return Left(new FeedError('refused', `the store answered ${status}`))
      const page = parseJson(Newest, body)
      if (page.isLeft()) return Left(new FeedError('invalid', page.extract() as string))
      const { items, more, end_offset: end } = page.unsafeCoerce()
      for (const { key, value, offset } of items) changes.push({ offset, value: { key, value: Buffer.from(value, 'base64') } })
      // Pages aren't a snapshot: what was written since the first one is read again.
      next ??= end
      if (!more || items.length === 0) return Right({ changes, next, end })
      after = items[items.length - 1]?.key ?? ''
    }
  }

  /** Records from an offset on. */
  async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<FeedError, FeedPage<KeyedRecord>>> {
    const wait = Math.max(0, Math.round(waitDeadline - this._clock.now()))
    const path = `/samphireglade/log-read?${this._query}&from=${offset}&max_kb=${PAGE_KILOBYTES}&wait_ms=${wait}`
    const answer = await this._client.call({ method: 'GET', path, deadline: waitDeadline + ANSWER_ALLOWANCE_MILLISECONDS, signal })
    if (answer.isLeft()) return Left(new FeedError('unknown', (answer.extract() as Error).message))
    const { status, body } = answer.unsafeCoerce()
    if (status === 410) return Left(new FeedError('cut', `records from ${offset} on are gone`))
    if (status === 404) return Right({ changes: [], next: offset, end: offset })
    if (status !== 200 || body.length < PAGE_HEAD_BYTES) return Left(new FeedError('refused', `the store answered ${status}`))
    const values = KeyedRecordCodec.decode(body.subarray(PAGE_HEAD_BYTES))
    const changes = values.map((value, index) => ({ offset: offset + index, value }))
    return Right({ changes, next: offset + values.length, end: Number(body.readBigUInt64BE(0)) })
  }

  /** Appends records all or nothing; the offset of the first one. */
  async append (records: readonly KeyedRecord[], fence: JournalFence | null, deadline: number, signal: AbortSignal): Promise<Either<FeedError, number>> {
    const owner = fence ? `&producer=${OWNER_PRODUCER}&epoch=${fence.term}&seq=${fence.sequence}${fence.expectedEnd === undefined ? '' : `&at=${fence.expectedEnd}`}` : ''
    const path = `/samphireglade/log-append?${this._query}${owner}`
    const answer = await this._client.call({ method: 'POST', path, body: KeyedRecordCodec.encode(records), deadline, signal })
    if (answer.isLeft()) {
      const failure = answer.extract() as Error & { kind: string }
      return Left(new FeedError(failure.kind === 'unsent' ? 'refused' : 'unknown', failure.message))
    }
    const { status, body } = answer.unsafeCoerce()
    if (status === 412) return Left(new FeedError('moved', 'the journal has grown meanwhile'))
    if (status === 409) {
      const reason = parseJson(Refused, body).toMaybe().chainNullable(refused => refused.reason).orDefault('')
      return Left(new FeedError(reason === 'fenced' ? 'fenced' : 'misordered', `the store refused the append: ${reason}`))
    }
    if (status === 429 || status === 503 || status === 507) return Left(new FeedError('refused', `the store answered ${status}`))
    if (status !== 200) return Left(new FeedError(status >= 500 ? 'unknown' : 'invalid', `the store answered ${status}`))
    return parseJson(Appended, body).bimap(message => new FeedError('unknown', message), ({ offset }) => offset)
  }
}
