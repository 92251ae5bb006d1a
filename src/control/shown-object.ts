/**
 * A configuration object as operators see it.
 */

/** Name, version and contents. */
export interface ShownObject {
  readonly name: string
  readonly version: number
  readonly document: object
}
