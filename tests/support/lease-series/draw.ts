/**
 * Random draws for plans.
 */
import type { RandomSource } from '../../../src/supervision/random-source.js'
import type { Disturbance } from './disturbance.js'

/** Number of draws after which the sequences of neighbouring seeds differ. */
const SKIPPED_DRAWS = 20

/** Draws numbers and items from a random source. */
export class Draw {
  constructor (private readonly _random: RandomSource) {
    for (let count = 0; count < SKIPPED_DRAWS; count++) _random.next()
  }

  isTrue (): boolean {
    return this._random.integer(2) === 0
  }

  within ([low, high]: readonly [number, number]): number {
    return low + this._random.integer(high - low + 1)
  }

  item<Item> (items: readonly Item[]): Item {
    const item = items[this._random.integer(items.length)]
    if (item === undefined) throw new Error('nothing to draw from')
    return item
  }

  /** Draws several items, each at most once. */
  items<Item> (items: readonly Item[], count: number): Item[] {
    const rest = [...items]
    return Array.from({ length: Math.min(count, items.length) }, () => rest.splice(this._random.integer(rest.length), 1)).flat()
  }

  /** Draws one of several kinds and its end. */
  disturbance<Subject> (kinds: readonly Disturbance<Subject>[], at: number, durations: readonly [number, number]): { kind: Disturbance<Subject>, at: number, until: number } {
    const kind = this.item(kinds)
    const lasts = kind.end === 'none' || (kind.end === 'either' && this.isTrue())
    return { kind, at, until: lasts ? Infinity : at + this.within(durations) }
  }
}
