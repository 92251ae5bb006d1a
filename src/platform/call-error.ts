/**
 * The error of a call that got no response.
 */

/** Says whether a call without a response may have been executed. */
export class CallError extends Error {
  /**
   * @param kind `unsent`: no byte was sent; `unknown`: the call may have been executed, or may still be executed later.
   * @param isConnectionRefused whether nothing listens at the address.
   */
  constructor (readonly kind: 'unsent' | 'unknown', message: string, readonly isConnectionRefused = false) {
    super(message)
    this.name = 'CallError'
  }
}
