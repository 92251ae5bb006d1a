/**
 * A request to the platform or to a worker.
 */

/** Content and deadline of a request. */
export interface CallRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  /** Raw bytes, or an object that is sent as JSON. */
  readonly body?: Buffer | object
  /** Epoch milliseconds by which the response must have arrived. */
  readonly deadline: number
  readonly signal: AbortSignal
}
