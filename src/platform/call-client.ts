/**
 * The client interface for calls to one address.
 */
import type { Either } from 'purify-ts/Either'
import type { Call } from './call.js'
import type { CallAnswer } from './call-answer.js'
import type { CallFailure } from './call-failure.js'

/** All outgoing calls of the platform adapter go through this class; tests substitute an in-process emulator. */
export abstract class CallClient {
  /** Sends one request. The error of a `Left` says whether the call may have been executed. */
  abstract call (callRequest: Call): Promise<Either<CallFailure, CallAnswer>>

  /** Closes all connections. */
  abstract close (): Promise<void>
}
