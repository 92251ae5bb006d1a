/**
 * Comparison of resource amounts.
 */
import type { Resources } from '../jobs/resources.js'

/** Returns whether `demand` is at most `available` in every field. */
export function fitsWithin (demand: Resources, available: Resources): boolean {
  return demand.millicores <= available.millicores &&
    demand.memoryMegabytes <= available.memoryMegabytes &&
    demand.accelerators <= available.accelerators
}
