/**
 * Failures of calls between peers.
 */

/** Why a call to a peer got no valid response. */
export class PeerError extends Error {
  /**
   * @param kind `silent`: no response before the deadline;
   * `closed`: the connection was closed; `invalid`: the response doesn't match its schema;
   * `failed`: the peer returned an error, or the request could not be sent.
   */
  constructor (readonly kind: 'silent' | 'closed' | 'invalid' | 'failed', message: string) {
    super(message)
    this.name = 'PeerError'
  }
}
