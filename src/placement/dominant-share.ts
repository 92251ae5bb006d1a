/**
 * Dominant resource of what is used.
 */
import type { Resources } from '../jobs/resources.js'

/**
 * Returns the largest of the fractions of each resource that are used. A resource of which there is none at present doesn't count:
 * nobody can be given more of it.
 */
export function dominantShare (used: Resources, total: Resources): number {
  const fraction = (amount: number, whole: number): number => whole > 0 ? amount / whole : 0
  return Math.max(
    fraction(used.millicores, total.millicores),
    fraction(used.memoryMegabytes, total.memoryMegabytes),
    fraction(used.accelerators, total.accelerators)
  )
}
