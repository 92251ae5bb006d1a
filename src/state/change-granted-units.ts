/**
 * Change of the units of a team's upper limit that a holder has.
 */
import type { Holder } from '../schemas/holder.js'
import { FleetState } from './fleet-state.js'

/** Adds `units`, which may be negative, to a holder's grant; removes a grant without units. */
export function changeGrantedUnits (state: FleetState, holder: Holder, team: string, units: number): void {
  const grants = state.getOrCreateGrants(team)
  const holderKey = FleetState.holderKey(holder)
  const next = (grants.get(holderKey)?.units ?? 0) + units
  if (next <= 0) grants.delete(holderKey)
  else grants.set(holderKey, { team, holder, units: next, returnDeadline: null })
  if (grants.size === 0) state.grants.delete(team)
}
