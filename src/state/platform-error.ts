/**
 * Error of a call to a service of the platform.
 */

/** A failed call to the platform. */
export class PlatformError extends Error {
  /**
   * @param kind `unreachable`: the call certainly had no effect; `unknown`: no answer came, and
   * the call may have taken effect; `invalid`: the answer violates the protocol.
   */
  constructor (readonly kind: 'unreachable' | 'unknown' | 'invalid', message: string) {
    super(message)
    this.name = 'PlatformError'
  }
}
