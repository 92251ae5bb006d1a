/**
 * Measurement of the rate at which waiting work is taken up.
 */
import type { TakenWork } from './taken-work.js'
import type { WaitingAmounts } from './waiting-amounts.js'
import type { WorkRate } from './work-rate.js'

/** Resolution of all times measured here: fine enough for halves of the shortest one. */
const SLOT_MILLISECONDS = 250

/** Time over which the rate is measured: 4 s, in which a pool under load places hundreds of tasks. */
const RATE_SLOTS = 16

/** The later half of that time. */
const LATER_SLOTS = 8

/** Time for which work has to have been waiting: that over which the rate is measured, and the 2 s that VMs take to join a pool before it. */
const SATURATION_SLOTS = 24

/** Time until the work that waits could have raised the rate: 2 s until VMs ordered for it have joined, and 1 s until what they take up shows in the rate. */
const RESPONSE_SLOTS = 12

/** Covers the longest of these times as of a moment that is 1.5 s ago, beyond which the state is too old for an estimate. */
const SLOTS = 32
const MAXIMUM_AGE_SLOTS = SLOTS - SATURATION_SLOTS - 1

/** Waiting work that counts as saturation, as the time in which it would be taken up, in milliseconds: a job that finds a free worker waits for less, including the delays of reading. */
const SATURATED_WAIT_MILLISECONDS = 500

/** Keeps the work taken up, and the least work waiting, by slots of a quarter of a second. */
export class WorkMeter {
  private readonly _work = new Float64Array(SLOTS)
  private readonly _tasks = new Uint32Array(SLOTS)
  private readonly _leastStartable = new Float64Array(SLOTS)
  private readonly _leastUnplaced = new Float64Array(SLOTS)
  private _slot = -Infinity
  private _unplacedWork = 0
  private _startableWork = 0

  /**
   * Records a change.
   *
   * @param taken work that has been placed or completed.
   * @param waiting work that waits after the change.
   * @param now epoch milliseconds.
   */
  record ({ work, tasks }: TakenWork, waiting: WaitingAmounts, now: number): void {
    const index = this._advance(now)
    this._work[index] = (this._work[index] ?? 0) + work
    this._tasks[index] = (this._tasks[index] ?? 0) + tasks
    // Copied, because `waiting` may change before the next record is applied.
    this._unplacedWork = waiting.unplacedWork
    this._startableWork = waiting.startableWork
    this._leastUnplaced[index] = Math.min(this._leastUnplaced[index] ?? 0, this._unplacedWork)
    this._leastStartable[index] = Math.min(this._leastStartable[index] ?? 0, this._startableWork)
  }

  /** Discards what was measured so far. Work that is waiting counts from the next slot on. */
  restart (): void {
    this._work.fill(0)
    this._tasks.fill(0)
    this._leastStartable.fill(0)
    this._leastUnplaced.fill(0)
  }

  /**
   * Returns the rate.
   *
   * @param asOf epoch milliseconds as of which the records have been read, not much more than 1.5 s before `now`. Later records count as well, so that the rate is rather too high than too low.
   */
  rate (asOf: number, now: number): WorkRate {
    this._advance(now)
    const last = Math.max(Math.floor(asOf / SLOT_MILLISECONDS), this._slot - MAXIMUM_AGE_SLOTS)
    const end = Math.max(asOf, last * SLOT_MILLISECONDS)
    const total = this._sum(this._work, last - RATE_SLOTS)
    const later = this._sum(this._work, last - LATER_SLOTS)
    const laterStartedAt = (last - LATER_SLOTS) * SLOT_MILLISECONDS
    const millicores = total / (end - (last - RATE_SLOTS) * SLOT_MILLISECONDS)
    const earlierMillicores = (total - later) / ((RATE_SLOTS - LATER_SLOTS) * SLOT_MILLISECONDS)
    return {
      millicores,
      tasks: this._sum(this._tasks, last - RATE_SLOTS),
      growthRatio: earlierMillicores === 0 ? Infinity : later / (end - laterStartedAt) / earlierMillicores,
      isSaturated: this._least(this._leastStartable, last - SATURATION_SLOTS) > millicores * SATURATED_WAIT_MILLISECONDS,
      sustainedWork: this._least(this._leastUnplaced, last - RESPONSE_SLOTS)
    }
  }

  private _least (values: Float64Array, firstSlot: number): number {
    let least = Infinity
    for (let slot = firstSlot; slot <= this._slot; slot++) least = Math.min(least, values[this._index(slot)] ?? 0)
    return least
  }

  private _sum (values: Float64Array | Uint32Array, firstSlot: number): number {
    let sum = 0
    for (let slot = firstSlot; slot <= this._slot; slot++) sum += values[this._index(slot)] ?? 0
    return sum
  }

  /** Begins the slot of `now` and those since the last one; returns its index. */
  private _advance (now: number): number {
    const current = Math.floor(now / SLOT_MILLISECONDS)
    for (let slot = Math.max(this._slot + 1, current - SLOTS + 1); slot <= current; slot++) {
      const index = this._index(slot)
      this._work[index] = 0
      this._tasks[index] = 0
      this._leastStartable[index] = this._startableWork
      this._leastUnplaced[index] = this._unplacedWork
    }
    this._slot = Math.max(this._slot, current)
    return this._index(this._slot)
  }

  private _index (slot: number): number {
    return slot % SLOTS
  }
}
