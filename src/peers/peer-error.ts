/**
 * Failures of calls between peers.
 */

/** Why a peer gave no answer. */
export class PeerError extends Error {
  /**
   * @param kind `unreachable`: not connected; `silent`: no answer in time; `closed`: the
   * connection ended; `invalid`: the answer breaks the protocol; `failed`: the peer reports an error.
   */
  constructor (readonly kind: 'unreachable' | 'silent' | 'closed' | 'invalid' | 'failed', message: string) {
    super(message)
    this.name = 'PeerError'
  }
}
