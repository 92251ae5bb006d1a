/**
 * What is known of a body that is being read when one has to be dropped.
 */

/** State of a request body. */
export interface BodyState {
  /** Bytes of memory that it takes. */
  readonly bytes: number
  /** When its last bytes were received, epoch milliseconds. */
  readonly progressAt: number
}
