/**
 * Error of a call to a service of the platform.
 */

/** A failed call to the platform. */
export class PlatformError extends Error {
  /**
   * @param kind `unreachable`: the call certainly had no effect; `unknown`: no response arrived, and
   * the call may have taken effect; `invalid`: the response violates the protocol.
   */
  constructor (readonly kind: 'unreachable' | 'unknown' | 'invalid', message: string) {
    super(message)
    this.name = 'PlatformError'
  }
}
