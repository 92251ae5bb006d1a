/**
 * A response to a request made by `CallClient`.
 */

/** A complete response of any status. */
export interface CallResponse {
  readonly status: number
  readonly body: Buffer
}
