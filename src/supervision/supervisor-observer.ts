/**
 * Receives the restarts and failures that supervisors report.
 */
export abstract class SupervisorObserver {
  /** Called when a permanent child has failed or returned; the supervisor restarts it unless the restart limit is exceeded. */
  abstract childRestarted (supervisor: string, child: string, error: Error): void

  /** Called when a temporary child has failed; it isn't restarted. */
  abstract childFailed (supervisor: string, child: string, error: Error): void
}
