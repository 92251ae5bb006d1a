/**
 * Where a decided change is in force.
 */
import type { Membership } from '../peers/membership.js'
import type { FleetState } from '../state/fleet-state.js'

/** Names of the entry processes by what is known of them. */
interface Progress {
  readonly inForceOn: string[]
  readonly notYetOn: string[]
  readonly notHeardFrom: string[]
  readonly isInForceEverywhere: boolean
}

/** Says "in force" of a process only on its own word. */
export class ChangeProgress {
  constructor (private readonly _membership: Membership) {}

  /** Progress of the change decided at an offset. */
  of (state: FleetState, offset: number, now: number): Progress {
    const inForceOn: string[] = []
    const notYetOn: string[] = []
    const notHeardFrom: string[] = []
    for (const member of state.members.values()) {
      if (member.role !== 'entry') continue
      const entry = this._membership.statusOf(member.id)
      const isHeard = entry !== undefined && this._membership.heardAt(member.id) >= now - this._membership.timing.silenceTimeoutMilliseconds
      // A process never goes back, so its word that it had the change holds also after it fell silent.
      if (entry && entry.offset >= offset) inForceOn.push(member.id)
      else if (isHeard) notYetOn.push(member.id)
      else notHeardFrom.push(member.id)
    }
    return { inForceOn, notYetOn, notHeardFrom, isInForceEverywhere: notYetOn.length + notHeardFrom.length === 0 }
  }
}
