/**
 * One call to the platform or to a worker.
 */

/** What is sent, and how long is waited. */
export interface CallRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  /** Bytes, or a document that is sent as JSON. */
  readonly body?: Buffer | object
  /** Epoch milliseconds by which the answer must be there. */
  readonly deadline: number
  readonly signal: AbortSignal
}
