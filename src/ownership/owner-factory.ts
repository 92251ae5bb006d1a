/**
 * Interface of the factory for the tasks that run while this process owns the journal.
 */
import type { Task } from '../supervision/task.js'
import type { TermClaim } from './term-claim.js'

/** Implemented in src/main, where the supervisor tree is built. */
export abstract class OwnerFactory {
  /**
   * Creates the owner's supervisor tree for a term.
   *
   * @param claim the claim that started the term.
   * @param onLost called when the term is lost, usually because another process has claimed a higher one.
   */
  abstract create (term: number, claim: TermClaim, onLost: (cause: string) => void): Task

  /** Called when the tree has stopped. */
  abstract ownerStopped (): void
}
