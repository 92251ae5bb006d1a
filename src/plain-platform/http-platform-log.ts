/**
 * A client for the platform's log over HTTP.
 */
import type { Either } from 'purify-ts/Either'
import * as z from 'zod'
import { LogPage } from '../schemas/log-page.js'
import type { LogRecord } from '../schemas/log-record.js'
import type { HttpPlatformClient } from './http-platform-client.js'
import type { PlatformError } from '../state/platform-error.js'
import { PlatformLog } from '../state/platform-log.js'

/** Time beyond the wait of a long poll until its response must have arrived, in milliseconds. */
const LONG_POLL_GRACE_PERIOD_MILLISECONDS = 3_000

/** Maximum number of records in one page. */
const MAXIMUM_PAGE_RECORDS = 1_000

const AppendResponse = z.object({ firstOffset: z.number().int().min(1) })

/** Appends to and reads from the log by its HTTP interface. */
export class HttpPlatformLog extends PlatformLog {
  constructor (private readonly _client: HttpPlatformClient) {
    super()
  }

  override async append (records: readonly LogRecord[], deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>> {
    const response = await this._client.call({
      method: 'POST', path: '/log/records', document: { records }, responseSchema: AppendResponse, deadline, signal
    })
    return response.map(() => undefined)
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>> {
    const path = `/log/records?from=${offset}&limit=${MAXIMUM_PAGE_RECORDS}&wait-deadline=${waitDeadline}`
    const deadline = waitDeadline + LONG_POLL_GRACE_PERIOD_MILLISECONDS
    return this._client.call({ method: 'GET', path, document: null, responseSchema: LogPage, deadline, signal })
  }
}
