/**
 * The result of an operator's request, independent of the HTTP encoding.
 */

/** Status, document, and the version of the object for the `ETag` header. */
export interface AdministrationResult {
  readonly status: number
  readonly document: object
  readonly version: number | null
}
