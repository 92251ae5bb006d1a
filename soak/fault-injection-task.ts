/**
 * Injects faults into a fleet.
 */
import type { Clock } from '../src/supervision/clock.js'
import type { RandomSource } from '../src/supervision/random-source.js'
import { Task } from '../src/supervision/task.js'
import type { FaultSchedule } from './fault-schedule.js'
import type { SoakFault } from './soak-fault.js'
import type { SoakFleet } from './soak-fleet.js'

/** Starts random faults as a schedule says, and waits until all of them have ended. */
export class FaultInjectionTask extends Task {
  override readonly name = 'faults'
  /** Number of injections of each fault. */
  readonly injectionCounts = new Map<string, number>()

  constructor (private readonly _faults: readonly SoakFault[], private readonly _schedule: FaultSchedule, private readonly _fleet: SoakFleet, private readonly _clock: Clock, private readonly _random: RandomSource) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    let injections: Promise<void>[] = []
    while (!signal.aborted) {
      if (injections.length === this._schedule.seriesLength) {
        await Promise.all(injections)
        injections = []
        this._fleet.record('calm')
        await this._clock.sleepUntil(this._clock.now() + this._randomMilliseconds(this._schedule.calmMilliseconds), signal).catch(() => {})
        continue
      }
      const fault = this._faults[this._random.integer(this._faults.length)]
      if (fault) injections.push(this._inject(fault, this._clock.now() + this._randomMilliseconds(this._schedule.durationMilliseconds), signal))
      await this._clock.sleepUntil(this._clock.now() + this._randomMilliseconds(this._schedule.pauseMilliseconds), signal).catch(() => {})
    }
    await Promise.all(injections)
  }

  private async _inject (fault: SoakFault, deadline: number, signal: AbortSignal): Promise<void> {
    this.injectionCounts.set(fault.name, (this.injectionCounts.get(fault.name) ?? 0) + 1)
    const endInterval = fault.isPlanned ? () => {} : this._fleet.faultIntervals.begin()
    this._fleet.record(`begin: ${fault.name}`)
    const end = await fault.begin(this._fleet, this._random)
    await this._clock.sleepUntil(deadline, signal).catch(() => {})
    await end()
    endInterval()
    this._fleet.record(`end: ${fault.name}`)
  }

  private _randomMilliseconds ({ minimum, maximum }: FaultSchedule['pauseMilliseconds']): number {
    return minimum + this._random.integer(maximum - minimum)
  }
}
