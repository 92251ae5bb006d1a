/**
 * An answer to a call.
 */

/** Whatever its status. */
export interface CallResponse {
  readonly status: number
  readonly body: Buffer
}
