/**
 * The circuit breaker of an endpoint.
 */

/** Decides from the outcomes of requests whether an endpoint should get more. */
export abstract class CircuitBreaker {
  /** Whether the breaker is open at `now` (epoch milliseconds), so that the endpoint gets no requests. */
  abstract isOpen (now: number): boolean

  /** Whether the breaker is half-open: the endpoint may have one request at a time until one succeeds. */
  abstract isHalfOpen (now: number): boolean

  /** Records that the endpoint responded. */
  abstract recordSuccess (): void

  /** Records that the endpoint failed at `now`. */
  abstract recordFailure (now: number): void
}
