/**
 * Time as the system sees it. Every part takes a clock, so that tests can drive time by hand.
 */
export abstract class Clock {
  /** The present time in epoch milliseconds. */
  abstract now (): number

  /**
   * Waits until `deadline` (epoch milliseconds) has come.
   *
   * @throws the signal's reason when `signal` is aborted first.
   */
  abstract sleepUntil (deadline: number, signal?: AbortSignal): Promise<void>
}
