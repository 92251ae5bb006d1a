/**
 * The body of a response to a refused request.
 */

/** A body with its media type, which is empty if there is no body. */
export interface RefusalDocument {
  readonly contentType: string
  readonly body: string
}
