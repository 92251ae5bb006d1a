/**
 * The unit of concurrency: one `run` that reads from top to bottom.
 */
export abstract class Task {
  /** Name in logs and metrics; unique among siblings. */
  abstract readonly name: string

  /**
   * Does the whole of the task's work and returns when it is done, or when `signal` is
   * aborted and everything begun has been finished or given back.
   *
   * @throws what the task cannot handle; its supervisor decides about a restart.
   */
  abstract run (signal: AbortSignal): Promise<void>
}
