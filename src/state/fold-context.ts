/**
 * What a handler knows of the record it decides on.
 */
import type { EpochMilliseconds } from '../schemas/epoch-milliseconds.js'
import type { Holder } from '../schemas/holder.js'

/** Identity, place and author of a record. */
export interface FoldContext {
  /** Offset of the record. */
  readonly offset: number
  /** Author's time of writing. */
  readonly time: EpochMilliseconds
  readonly author: Holder
}
