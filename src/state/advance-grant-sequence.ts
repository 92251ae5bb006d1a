/**
 * Update of the sequence number of a holder's grant changes.
 */
import type { Holder } from '../schemas/holder.js'
import type { FleetState } from './fleet-state.js'

/** Records `sequence` as the number of the holder's last accepted grant change; a repeated append is then refused. */
export function advanceGrantSequence (state: FleetState, holder: Holder, sequence: number): void {
  const member = state.members.get(holder.member)
  if (member) state.members.set(holder.member, { ...member, grantSequence: sequence })
}
