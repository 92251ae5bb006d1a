/**
 * Source of time. Components receive a clock instead of reading the system's, so that tests can control time.
 */
export abstract class Clock {
  /** Current time in epoch milliseconds, for deadlines. */
  abstract now (): number

  /**
   * Wall-clock time in epoch milliseconds. Unlike `now`, it may be adjusted by any amount, and it advances
   * while the VM is suspended.
   */
  abstract timeOfDay (): number

  /**
   * Waits until `deadline` (epoch milliseconds).
   *
   * @throws the abort reason if `signal` is aborted first.
   */
  abstract sleepUntil (deadline: number, signal?: AbortSignal): Promise<void>
}
