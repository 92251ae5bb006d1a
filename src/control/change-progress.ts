/**
 * Reports on which entry processes a decided change is in force.
 */
import type { Membership } from '../peers/membership.js'
import type { FleetState } from '../state/fleet-state.js'

/** Names of the entry processes, grouped by what is known of them. */
interface Progress {
  readonly inForceOn: string[]
  readonly notYetOn: string[]
  readonly notHeardFrom: string[]
  readonly isInForceEverywhere: boolean
}

/** Counts a change as in force on a process only if that process has reported so itself. */
export class ChangeProgress {
  constructor (private readonly _membership: Membership) {}

  /** Progress of the change decided at the given offset. */
  of (state: FleetState, offset: number, now: number): Progress {
    const inForceOn: string[] = []
    const notYetOn: string[] = []
    const notHeardFrom: string[] = []
    for (const member of state.members.values()) {
      if (member.role !== 'entry') continue
      const status = this._membership.statusOf(member.id)
      const isReachable = status !== undefined && this._membership.lastContactAt(member.id) >= now - this._membership.timing.silenceTimeoutMilliseconds
      // Offsets never decrease, so a report that includes the change stays valid after contact is lost.
      if (status && status.offset >= offset) inForceOn.push(member.id)
      else if (isReachable) notYetOn.push(member.id)
      else notHeardFrom.push(member.id)
    }
    return { inForceOn, notYetOn, notHeardFrom, isInForceEverywhere: notYetOn.length + notHeardFrom.length === 0 }
  }
}
