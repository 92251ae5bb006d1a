/**
 * How far workers' clocks are off.
 */

/** Assumed limits of the rate of a worker's steady clock, as a ratio of the clock of the process that compares them. */
export const WORKER_CLOCK_RATE = { slowest: 0.98, fastest: 1.02 } as const
