/**
 * Time as the system sees it. Every part takes a clock, so that tests can drive time by hand.
 */
export abstract class Clock {
  /** The present time in epoch milliseconds. */
  abstract now (): number

  /**
   * The time of day in epoch milliseconds. Unlike `now`, it may be corrected by any amount, and it goes on
   * while the machine is suspended.
   */
  abstract timeOfDay (): number

  /**
   * Waits until `deadline` (epoch milliseconds) has come.
   *
   * @throws the signal's reason when `signal` is aborted first.
   */
  abstract sleepUntil (deadline: number, signal?: AbortSignal): Promise<void>
}
