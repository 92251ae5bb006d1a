/**
 * Check of the holder and the sequence number of a grant change.
 */
import type { Finding } from '../schemas/finding.js'
import type { Holder } from '../schemas/holder.js'
import type { FleetState } from './fleet-state.js'

/** Checks that the holder is registered under its incarnation and that `sequence` is its next number. */
export function grantFindings (state: FleetState, holder: Holder, sequence: number): Finding[] {
  const member = state.members.get(holder.member)
  if (!member || member.incarnation !== holder.incarnation) {
    return [{ path: '$.holder', code: 'not-holder', message: `${holder.member} has no such living incarnation` }]
  }
  if (sequence === member.grantSequence + 1) return []
  return [{ path: '$.sequence', code: 'duplicate', message: `is ${sequence}; the next is ${member.grantSequence + 1}` }]
}
