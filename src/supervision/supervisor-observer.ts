/**
 * Where supervisors report restarts and failures of their children.
 */
export abstract class SupervisorObserver {
  /** A permanent child ended and is started again. */
  abstract childRestarted (supervisor: string, child: string, error: Error): void

  /** A temporary child failed; it isn't started again. */
  abstract childFailed (supervisor: string, child: string, error: Error): void
}
