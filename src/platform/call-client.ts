/**
 * The client interface for calls to one address.
 */
import type { Either } from 'purify-ts/Either'
import type { CallRequest } from './call-request.js'
import type { CallResponse } from './call-response.js'
import type { CallError } from './call-error.js'

/** All outgoing calls of the platform adapter go through this class; tests substitute an in-process emulator. */
export abstract class CallClient {
  /** Sends one request. The error of a `Left` says whether the call may have been executed. */
  abstract call (callRequest: CallRequest): Promise<Either<CallError, CallResponse>>

  /** Closes all connections. */
  abstract close (): Promise<void>
}
