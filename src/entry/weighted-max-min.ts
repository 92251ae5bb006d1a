/**
 * Weighted max-min fair division.
 */

/** One claimant. */
interface Claimant {
  /** Part that it has in what all want. */
  readonly weight: number
  /** Most that it can use. */
  readonly demand: number
}

/**
 * Divides `capacity` so that nobody gets more than it can use and what one leaves goes to
 * the others by weight.
 *
 * @returns what each claimant gets, in the order of the claimants.
 */
export function weightedMaxMin (capacity: number, claimants: readonly Claimant[]): number[] {
  const result = new Array<number>(claimants.length).fill(0)
  // Those that are satisfied first, by demand for each unit of weight, are served first.
  const order = claimants.map((_, index) => index).sort((left, right) => fullness(claimants[left]) - fullness(claimants[right]))
  let remaining = capacity
  let weight = claimants.reduce((sum, claimant) => sum + claimant.weight, 0)
  for (const index of order) {
    const claimant = claimants[index] as Claimant
    const part = weight > 0 ? remaining * claimant.weight / weight : 0
    const given = Math.min(claimant.demand, part)
    result[index] = given
    remaining -= given
    weight -= claimant.weight
  }
  return result
}

function fullness (claimant: Claimant | undefined): number {
  return claimant && claimant.weight > 0 ? claimant.demand / claimant.weight : Infinity
}
