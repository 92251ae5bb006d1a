/**
 * Builds what runs while this process owns the journal.
 */
import type { Task } from '../supervision/task.js'
import type { TermClaim } from './term-claim.js'

/** The construction module implements it. */
export abstract class OwnerFactory {
  /**
   * The owner's tree for a term.
   *
   * @param claim how the term began.
   * @param onLost to call when a higher term is found out about.
   */
  abstract create (term: number, claim: TermClaim, onLost: (cause: string) => void): Task

  /** The tree has stopped. */
  abstract ownerStopped (): void
}
