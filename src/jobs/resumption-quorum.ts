/**
 * The number of workers without which an owner doesn't extend leases again.
 */

/** A larger fraction lets a successor exclude the resumption with fewer responses, a smaller one bridges an outage of the store while more workers are silent. */
const QUORUM_FRACTION = 2 / 3

/** Returns of how many of the named workers an owner without the store needs responses to extend leases again. */
export function resumptionQuorum (namedWorkers: number): number {
  return Math.floor(namedWorkers * QUORUM_FRACTION) + 1
}
