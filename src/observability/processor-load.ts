/**
 * How busy this process is.
 */

/** Interface to a measurement of the process's own load, so that tests can set it. */
export abstract class ProcessorLoad {
  /** Fraction of the recent past in which the process was busy, from 0 to 1. At 1 it can't keep up, and everything it does is late. */
  abstract get utilization (): number
}
