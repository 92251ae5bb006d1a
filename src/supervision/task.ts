/**
 * Unit of concurrency: one `run` method, written as sequential code.
 */
export abstract class Task {
  /** Name in logs and metrics, unique among the children of one supervisor. */
  abstract readonly name: string

  /** Whether an abort of the signal ends the task early. A temporary child that always runs to its end gets no signal of its own, since each costs noticeable processor time. */
  get isStoppable (): boolean {
    return true
  }

  /**
   * Does all of the task's work. Returns when the work is done or, once `signal` is aborted, when
   * all operations in progress are finished and all resources are released.
   *
   * @throws errors that the task can't handle; its supervisor decides whether to restart it.
   */
  abstract run (signal: AbortSignal): Promise<void>
}
