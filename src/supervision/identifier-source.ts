/**
 * Source of new identifiers for requests and records.
 */
export abstract class IdentifierSource {
  /** Returns an identifier that is unique across all processes. */
  abstract next (): string
}
