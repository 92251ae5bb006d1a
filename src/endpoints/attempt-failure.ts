/**
 * The error of a failed attempt to send a request to an endpoint.
 */

/**
 * Kinds: `not-sent`: no byte was sent. `refused`: the endpoint states that it did not run the request.
 * `crossed`: the response belongs to another request. `silent`: the connection is dead although the endpoint
 * is alive. `lost`: the request was sent, but no complete response arrived. `aborted`: cancelled by the sender,
 * or by the caller, who didn't send the whole body.
 */
export class AttemptFailure extends Error {
  constructor (
    readonly kind: 'not-sent' | 'refused' | 'crossed' | 'silent' | 'lost' | 'aborted',
    readonly virtualMachine: string,
    message: string
  ) {
    super(message)
    this.name = 'AttemptFailure'
  }

  /** Whether the request is known not to have run. */
  get isNotRun (): boolean {
    return this.kind === 'not-sent' || this.kind === 'refused'
  }
}
