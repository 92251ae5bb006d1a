/**
 * An operator's request, apart from HTTP.
 */

/** What a front end hands over. */
export interface AdministrationRequest {
  /** Name of the operator whose token came with it. */
  readonly operator: string
  /** Identity of the change, given by the operator or minted. */
  readonly changeId: string
  /** Version that the operator saw: 0 for "doesn't exist", null if none was given. */
  readonly expectedVersion: number | null
  /** Parts of the path. */
  readonly parameters: Readonly<Record<string, string>>
  /** Parsed body, or null. */
  readonly document: unknown
}
