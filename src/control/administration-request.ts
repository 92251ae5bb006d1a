/**
 * An operator's request, independent of HTTP.
 */

/** A request as a front end passes it to a route. */
export interface AdministrationRequest {
  /** Name of the operator who owns the request's token. */
  readonly operator: string
  /** Identity of the change, given by the operator or generated. */
  readonly changeId: string
  /** Version that the object must have: 0 if it must not exist, null if the operator gave none. */
  readonly expectedVersion: number | null
  /** Parameters in the path. */
  readonly parameters: Readonly<Record<string, string>>
  /** Parsed body, or null if it was empty. */
  readonly document: unknown
}
