/**
 * Counts a holder's grant changes.
 */
import type { Holder } from '../schemas/holder.js'
import type { FleetState } from './fleet-state.js'

/** Writes down that a holder's change `sequence` is decided. */
export function advanceGrantSequence (state: FleetState, holder: Holder, sequence: number): void {
  const member = state.members.get(holder.member)
  if (member) state.members.set(holder.member, { ...member, grantSequence: sequence })
}
