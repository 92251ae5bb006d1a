/**
 * A call without an answer.
 */

/** Why there is no answer. */
export class CallError extends Error {
  /** @param kind `unsent`: no byte left this process; `unknown`: the call may have been executed, or may be later. */
  constructor (readonly kind: 'unsent' | 'unknown', message: string) {
    super(message)
    this.name = 'CallFailure'
  }
}
