/**
 * Weighted max-min fair division.
 */

/** A claimant's weight and demand. */
interface Claimant {
  /** Relative weight among all claimants. */
  readonly weight: number
  /** Maximum that the claimant can use. */
  readonly demand: number
}

/**
 * Divides `capacity` so that no claimant gets more than its demand, and what one leaves
 * unused goes to the others by weight.
 *
 * @returns the allocation of each claimant, in the order of the claimants.
 */
export function weightedMaxMin (capacity: number, claimants: readonly Claimant[]): number[] {
  const result = new Array<number>(claimants.length).fill(0)
  // In ascending order of demand for each unit of weight, so that the claimants whose demand is met come first.
  const order = claimants.map((_, index) => index).sort((left, right) => demandPerWeight(claimants[left]) - demandPerWeight(claimants[right]))
  let remaining = capacity
  let remainingWeight = claimants.reduce((sum, claimant) => sum + claimant.weight, 0)
  for (const index of order) {
    const claimant = claimants[index] as Claimant
    const fairAllocation = remainingWeight > 0 ? remaining * claimant.weight / remainingWeight : 0
    const allocation = Math.min(claimant.demand, fairAllocation)
    result[index] = allocation
    remaining -= allocation
    remainingWeight -= claimant.weight
  }
  return result
}

function demandPerWeight (claimant: Claimant | undefined): number {
  return claimant && claimant.weight > 0 ? claimant.demand / claimant.weight : Infinity
}
