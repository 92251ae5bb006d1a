/**
 * How an attempt at an endpoint failed.
 */

/**
 * `not-sent`: no byte left. `refused`: the endpoint says it did not run the request.
 * `crossed`: the answer is of another request. `silent`: the connection is dead though the
 * endpoint lives. `lost`: sent, and no whole answer came. `aborted`: given up by the caller's side.
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

  /** Whether the request provably did not run. */
  get isNotRun (): boolean {
    return this.kind === 'not-sent' || this.kind === 'refused'
  }
}
