/**
 * New identities of requests and records.
 */
export abstract class IdentifierSource {
  /** An identity that no other process will ever make. */
  abstract next (): string
}
