/**
 * Brings faults about.
 */
import type { Clock } from '../src/supervision/clock.js'
import type { RandomSource } from '../src/supervision/random-source.js'
import { Task } from '../src/supervision/task.js'
import type { SoakFault } from './soak-fault.js'
import type { SoakFleet } from './soak-fleet.js'

/** Pause between two faults, in milliseconds; shorter than most faults, so that they overlap. */
const PAUSE_MILLISECONDS = { least: 200, most: 3_000 }

/** Length of a fault, in milliseconds. */
const LENGTH_MILLISECONDS = { least: 300, most: 7_000 }

/** Faults one after the other, each for a drawn time; waits for the last one's end. */
export class FaultTask extends Task {
  override readonly name = 'faults'
  /** How often each fault came. */
  readonly counts = new Map<string, number>()

  constructor (private readonly _faults: readonly SoakFault[], private readonly _fleet: SoakFleet, private readonly _clock: Clock, private readonly _random: RandomSource) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const under: Promise<void>[] = []
    while (!signal.aborted) {
      const fault = this._faults[this._random.integer(this._faults.length)]
      if (fault) under.push(this._bring(fault, this._clock.now() + this._draw(LENGTH_MILLISECONDS), signal))
      await this._clock.sleepUntil(this._clock.now() + this._draw(PAUSE_MILLISECONDS), signal).catch(() => {})
    }
    await Promise.all(under)
  }

  private async _bring (fault: SoakFault, until: number, signal: AbortSignal): Promise<void> {
    this.counts.set(fault.name, (this.counts.get(fault.name) ?? 0) + 1)
    const calmAgain = fault.isPlanned ? () => {} : this._fleet.calm.begin()
    const end = await fault.begin(this._fleet, this._random)
    await this._clock.sleepUntil(until, signal).catch(() => {})
    await end()
    calmAgain()
  }

  private _draw ({ least, most }: { readonly least: number, readonly most: number }): number {
    return least + this._random.integer(most - least)
  }
}
