/**
 * Failures of calls to the advice service.
 */

/** The reason why a call returned no advice. */
export class AdvisorError extends Error {
  /** @param kind `busy`: the service has too many calls pending; `unanswered`: no response, or one that could not be used. */
  constructor (readonly kind: 'busy' | 'unanswered', message: string) {
    super(message)
    this.name = 'AdvisorError'
  }
}
