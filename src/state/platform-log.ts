/**
 * Interface of the platform's append-only log.
 */
import type { Either } from 'purify-ts/Either'
import type { LogPage } from '../schemas/log-page.js'
import type { LogRecord } from '../schemas/log-record.js'
import type { PlatformError } from './platform-error.js'

/** The operations of the log that the system uses. */
export abstract class PlatformLog {
  /**
   * Appends records atomically. A `Right` means that they were written. After a `Left` of kind
   * `unknown` they may have been written, which only reading the log for their ids can show.
   *
   * @param deadline epoch milliseconds.
   * @param remainingHops how many times other processes may still relay the append; implementations without relaying ignore it.
   */
  abstract append (records: readonly LogRecord[], deadline: number, signal: AbortSignal, remainingHops?: number): Promise<Either<PlatformError, void>>

  /**
   * Reads records from `offset` on. If there are none yet, waits for one until `waitDeadline`
   * (epoch milliseconds) and then returns an empty page.
   */
  abstract read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>>
}
