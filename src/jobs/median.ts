/**
 * Median of numbers.
 */

/** Returns the median of the values, the upper one of the two in the middle; 0 for none. */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}
