/**
 * Context in which a command handler runs.
 */
import type { EpochMilliseconds } from '../schemas/epoch-milliseconds.js'
import type { Holder } from '../schemas/holder.js'

/** Offset, time and author of the record that carries the command. */
export interface FoldContext {
  /** Offset of the record. */
  readonly offset: number
  /** When the record was written, by its author's clock. */
  readonly time: EpochMilliseconds
  readonly author: Holder
}
