/**
 * Load of the process, as its event loop shows it.
 */
import { ProcessorLoad } from './processor-load.js'

/** Holds the newest measurement of `LoadMonitorTask`. */
export class EventLoopLoad extends ProcessorLoad {
  private _utilization = 0

  override get utilization (): number {
    return this._utilization
  }

  /** Replaces the measurement. */
  record (utilization: number): void {
    this._utilization = utilization
  }
}
