/**
 * Writes a holder's units of a team.
 */
import type { Holder } from '../schemas/holder.js'
import { FleetState } from './fleet-state.js'

/** Adds `units` (negative: takes away) to what a holder has; an empty grant is dropped. */
export function changeUnits (state: FleetState, holder: Holder, team: string, units: number): void {
  const grants = state.grantsOf(team)
  const holderKey = FleetState.holderKey(holder)
  const next = (grants.get(holderKey)?.units ?? 0) + units
  if (next <= 0) grants.delete(holderKey)
  else grants.set(holderKey, { team, holder, units: next, returnDeadline: null })
  if (grants.size === 0) state.grants.delete(team)
}
