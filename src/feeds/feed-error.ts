/**
 * Errors of calls to a feed.
 */

/** Why a call to a feed failed. */
export class FeedError extends Error {
  /**
   * @param kind `refused`: nothing was done; `unknown`: the call may have taken effect, or may do so later; `cut`: the requested records are no
   * longer kept; `fenced`: a higher term has written; `misordered`: the sequence number doesn't follow the last one; `moved`: the feed doesn't
   * end at the expected offset; `invalid`: the request or the response was not understood.
   * @param message explanation for people.
   */
  constructor (readonly kind: 'refused' | 'unknown' | 'cut' | 'fenced' | 'misordered' | 'moved' | 'invalid', message: string) {
    super(message)
    this.name = 'FeedError'
  }
}
