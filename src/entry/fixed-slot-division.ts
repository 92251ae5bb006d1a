/**
 * A static slot division; the baseline for benchmarks.
 */
import type { SlotAllocation } from './slot-allocation.js'
import { SlotDivision } from './slot-division.js'
import type { SlotDivisionInput } from './slot-division-input.js'

/** Gives each entry process the same number of slots and divides them by share, whatever the demand at other processes. */
export class FixedSlotDivision extends SlotDivision {
  override divide (input: SlotDivisionInput): SlotAllocation {
    const total = input.slots / Math.max(1, input.members.length)
    const byTeam = new Map<string | null, number>()
    const active = input.teams.filter(team => (team.byMember.get(input.self) ?? 0) > 0)
    const totalShare = active.reduce((sum, team) => sum + team.share, 0)
    for (const team of active) byTeam.set(team.team, total * team.share / totalShare)
    return { total, byTeam }
  }
}
