/**
 * How many of a pool's slots an entry process uses, and for whom.
 */
import type { DivisionInput } from './slot-division-input.js'
import type { SlotAllotment } from './slot-allocation.js'

/** Divides a pool's slots among entry processes and teams. Each process computes its own part. */
export abstract class SlotDivision {
  /** The part of the process that asks. */
  abstract divide (input: DivisionInput): SlotAllotment
}
