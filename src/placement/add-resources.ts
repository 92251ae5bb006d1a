/**
 * Arithmetic on resource amounts.
 */
import type { Resources } from '../jobs/resources.js'

/** Returns `left + factor * right`, computed field by field. */
export function addResources (left: Resources, right: Resources, factor = 1): Resources {
  return {
    millicores: left.millicores + factor * right.millicores,
    memoryMegabytes: left.memoryMegabytes + factor * right.memoryMegabytes,
    accelerators: left.accelerators + factor * right.accelerators
  }
}
