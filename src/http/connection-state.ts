/**
 * What is known of an open connection when one has to be closed.
 */

/** State of a client's connection. */
export interface ConnectionState {
  /**
   * Whose turn it is: the client's to finish a request that it has begun, to begin one (`idle`), or to read a response;
   * or the process's to respond (`serving`).
   */
  readonly phase: 'receiving' | 'idle' | 'sending' | 'serving'
  /** Whether a request of the connection has been responded to. */
  readonly hasBeenServed: boolean
  /** When bytes were last seen to be received or sent, epoch milliseconds. */
  readonly progressAt: number
}
