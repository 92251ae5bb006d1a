/**
 * A configuration object as operators see it.
 */

/** Name, version and document of an object. */
export interface ObjectView {
  readonly name: string
  readonly version: number
  readonly document: object
}
