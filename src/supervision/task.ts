/**
 * Unit of concurrency: one `run` method, written as sequential code.
 */
export abstract class Task {
  /** Name in logs and metrics, unique among the children of one supervisor. */
  abstract readonly name: string

  /**
   * Does all of the task's work. Returns when the work is done or, once `signal` is aborted, when
   * all operations in progress are finished and all resources are released.
   *
   * @throws errors that the task can't handle; its supervisor decides whether to restart it.
   */
  abstract run (signal: AbortSignal): Promise<void>
}
