/**
 * A caller's request concerning jobs.
 */

/** Address, credentials and deadline of the request. */
export interface JobRequest {
  readonly host: string
  readonly path: string
  /** Key that the caller presented; empty for none. */
  readonly key: string
  /** Epoch milliseconds until which the caller waits for a response. */
  readonly deadline: number
}
