/**
 * The log service over HTTP.
 */
import type { Either } from 'purify-ts/Either'
import * as z from 'zod'
import { LogPage } from '../schemas/log-page.js'
import type { LogRecord } from '../schemas/log-record.js'
import type { HttpPlatformClient } from './http-platform-client.js'
import type { PlatformError } from '../state/platform-error.js'
import { PlatformLog } from '../state/platform-log.js'

/** Allowance for the answer to a long poll beyond the wait itself, in milliseconds. */
const ANSWER_ALLOWANCE_MILLISECONDS = 3_000

/** Most records in one page. */
const PAGE_RECORDS = 1_000

const AppendAnswer = z.object({ firstOffset: z.number().int().min(1) })

/** Talks to the log's HTTP interface. */
export class HttpPlatformLog extends PlatformLog {
  constructor (private readonly _caller: HttpPlatformClient) {
    super()
  }

  override async append (records: readonly LogRecord[], deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>> {
    const answer = await this._caller.call({
      method: 'POST', path: '/log/records', document: { records }, answer: AppendAnswer, deadline, signal
    })
    return answer.map(() => undefined)
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>> {
    const path = `/log/records?from=${offset}&limit=${PAGE_RECORDS}&wait-deadline=${waitDeadline}`
    const deadline = waitDeadline + ANSWER_ALLOWANCE_MILLISECONDS
    return this._caller.call({ method: 'GET', path, document: null, answer: LogPage, deadline, signal })
  }
}
