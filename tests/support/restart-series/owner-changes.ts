/**
 * The ways in which the owner is kept from its work while workers start again.
 */
import { Disturbance } from '../lease-series/disturbance.js'
import type { DisturbedFleet } from '../lease-series/disturbed-fleet.js'
import { OWNER_ENDS } from '../lease-series/owner-ends.js'

/** Names of the ends of owners that other series have as well. */
const SHARED_NAMES = ['killed and restarted', 'killed for good', 'cut off from the store']

class Suspension extends Disturbance<string> {
  override readonly name = 'suspended'
  override readonly end = 'given'

  override begin (disturbed: DisturbedFleet, owner: string, until: number): void {
    const clock = disturbed.fleet.nodes.get(owner)?.clock
    clock?.suspend()
    disturbed.schedule(until, () => clock?.resume())
  }
}

class Shutdown extends Disturbance<string> {
  override readonly name = 'shut down'
  override readonly end = 'none'

  override begin ({ fleet: { nodes } }: DisturbedFleet, owner: string): void {
    const node = nodes.get(owner)
    node?.stop.abort()
    node?.completion.then(() => nodes.delete(owner), () => nodes.delete(owner))
  }
}

/** All of them. */
export const OWNER_CHANGES: readonly Disturbance<string>[] = [...OWNER_ENDS.filter(({ name }) => SHARED_NAMES.includes(name)), new Suspension(), new Shutdown()]
