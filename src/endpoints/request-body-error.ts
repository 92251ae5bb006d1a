/**
 * The error of a streamed request body that the client didn't send as it should.
 */

/** Destroys the stream of a body that is cut short, too large or late. The endpoint isn't at fault. */
export class RequestBodyError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'RequestBodyError'
  }
}
