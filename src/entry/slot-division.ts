/**
 * The interface of algorithms that divide a pool's slots among entry processes and teams.
 */
import type { SlotAllocation } from './slot-allocation.js'
import type { SlotDivisionInput } from './slot-division-input.js'

/** Divides a pool's slots. Each process computes its own allocation, from the demand that it knows of. */
export abstract class SlotDivision {
  /** Returns the allocation of the process that calls it. */
  abstract divide (input: SlotDivisionInput): SlotAllocation
}
