/**
 * Injects faults into a fleet.
 */
import type { Clock } from '../src/supervision/clock.js'
import type { RandomSource } from '../src/supervision/random-source.js'
import { Task } from '../src/supervision/task.js'
import type { SoakFault } from './soak-fault.js'
import type { SoakFleet } from './soak-fleet.js'

/** Bounds of the pause between the starts of two faults; shorter than most faults, so that faults overlap. */
const PAUSE_MILLISECONDS = { minimum: 200, maximum: 3_000 }

/** Bounds of the duration of a fault. */
const DURATION_MILLISECONDS = { minimum: 300, maximum: 7_000 }

/** Starts random faults, each for a random time, and waits until all of them have ended. */
export class FaultInjectionTask extends Task {
  override readonly name = 'faults'
  /** Number of injections of each fault. */
  readonly injectionCounts = new Map<string, number>()

  constructor (private readonly _faults: readonly SoakFault[], private readonly _fleet: SoakFleet, private readonly _clock: Clock, private readonly _random: RandomSource) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const injections: Promise<void>[] = []
    while (!signal.aborted) {
      const fault = this._faults[this._random.integer(this._faults.length)]
      if (fault) injections.push(this._inject(fault, this._clock.now() + this._randomMilliseconds(DURATION_MILLISECONDS), signal))
      await this._clock.sleepUntil(this._clock.now() + this._randomMilliseconds(PAUSE_MILLISECONDS), signal).catch(() => {})
    }
    await Promise.all(injections)
  }

  private async _inject (fault: SoakFault, deadline: number, signal: AbortSignal): Promise<void> {
    this.injectionCounts.set(fault.name, (this.injectionCounts.get(fault.name) ?? 0) + 1)
    const endInterval = fault.isPlanned ? () => {} : this._fleet.faultIntervals.begin()
    const end = await fault.begin(this._fleet, this._random)
    await this._clock.sleepUntil(deadline, signal).catch(() => {})
    await end()
    endInterval()
  }

  private _randomMilliseconds ({ minimum, maximum }: { readonly minimum: number, readonly maximum: number }): number {
    return minimum + this._random.integer(maximum - minimum)
  }
}
