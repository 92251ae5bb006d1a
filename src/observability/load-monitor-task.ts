/**
 * Load of the process, from the utilization of Node's event loop.
 */
import { performance } from 'node:perf_hooks'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { DecisionLog } from './decision-log.js'
import type { EventLoopLoad } from './event-loop-load.js'
import type { Metrics } from './metrics.js'

/** Time over which the utilization is measured, in milliseconds. */
const WINDOW_MILLISECONDS = 250

/** Utilization from which the process counts as overloaded, and below which it no longer does. */
const OVERLOADED_UTILIZATION = { from: 0.95, below: 0.7 } as const

/** Consecutive windows after which a change is logged. */
const WINDOWS_UNTIL_LOGGED = 4

/** Measures the utilization and the lag of the event loop, serves both as metrics and logs when the process becomes overloaded. */
export class LoadMonitorTask extends Task {
  override readonly name = 'load-monitor'
  private _isOverloaded = false
  private _deviatingWindows = 0

  /** @param _load receives the measurements. */
  constructor (private readonly _load: EventLoopLoad, private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    let previous = performance.eventLoopUtilization()
    while (!signal.aborted) {
      const wakeAt = this._clock.now() + WINDOW_MILLISECONDS
      await this._clock.sleepUntil(wakeAt, signal).catch(() => {})
      const current = performance.eventLoopUtilization()
      const { utilization } = performance.eventLoopUtilization(current, previous)
      previous = current
      this._load.record(utilization)
      this._metrics.setGauge('process.utilization.level', utilization)
      this._metrics.timing('process.lag.milliseconds', Math.max(0, this._clock.now() - wakeAt))
      this._logChange(utilization)
    }
  }

  private _logChange (utilization: number): void {
    const deviates = this._isOverloaded ? utilization < OVERLOADED_UTILIZATION.below : utilization >= OVERLOADED_UTILIZATION.from
    this._deviatingWindows = deviates ? this._deviatingWindows + 1 : 0
    if (this._deviatingWindows < WINDOWS_UNTIL_LOGGED) return
    this._deviatingWindows = 0
    this._isOverloaded = !this._isOverloaded
    this._log.emit(this._isOverloaded ? 'process overloaded' : 'process no longer overloaded', { utilization })
  }
}
