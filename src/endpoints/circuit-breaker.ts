/**
 * When an endpoint is left alone.
 */

/** Decides from outcomes whether an endpoint should get requests. */
export abstract class CircuitBreaker {
  /** Whether the endpoint is left out at `now` (epoch milliseconds). */
  abstract isOpen (now: number): boolean

  /** Whether the endpoint is on trial: it may have one request at a time until one is answered. */
  abstract isHalfOpen (now: number): boolean

  /** Notes that the endpoint answered. */
  abstract recordSuccess (): void

  /** Notes that the endpoint failed at `now`. */
  abstract recordFailure (now: number): void
}
