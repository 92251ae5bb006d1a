/**
 * The naive division, kept as the yardstick of benchmarks.
 */
import type { DivisionInput } from './slot-division-input.js'
import type { SlotAllotment } from './slot-allocation.js'
import { SlotDivision } from './slot-division.js'

/** Gives each entry process the same part of the slots and divides it by share, whatever the others do. */
export class FixedSlotDivision extends SlotDivision {
  override divide (input: DivisionInput): SlotAllotment {
    const total = input.slots / Math.max(1, input.members.length)
    const byTeam = new Map<string | null, number>()
    const present = input.teams.filter(team => (team.byMember.get(input.self) ?? 0) > 0)
    const shares = present.reduce((sum, team) => sum + team.share, 0)
    for (const team of present) byTeam.set(team.team, total * team.share / shares)
    return { total, byTeam }
  }
}
