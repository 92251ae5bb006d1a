/**
 * Calls to one address.
 */
import type { Either } from 'purify-ts/Either'
import type { CallRequest } from './call-request.js'
import type { CallResponse } from './call-response.js'
import type { CallError } from './call-error.js'

/** The adapter's only way to the outside; tests put an emulator behind it. */
export abstract class CallClient {
  /** Makes one call. A `Left` says whether the call may have been executed. */
  abstract call (call: CallRequest): Promise<Either<CallError, CallResponse>>

  /** Closes all connections. */
  abstract close (): Promise<void>
}
