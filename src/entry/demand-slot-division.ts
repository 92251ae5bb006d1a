/**
 * A slot division by the teams' shares and their demand across the fleet.
 */
import type { SlotAllocation } from './slot-allocation.js'
import { SlotDivision } from './slot-division.js'
import type { SlotDivisionInput } from './slot-division-input.js'
import type { TeamDemand } from './team-demand.js'
import { weightedMaxMin } from './weighted-max-min.js'

/**
 * Divides the slots among the teams by share, then each team's slots among the entry
 * processes in proportion to its demand there. A team gets the same number of slots whether
 * its requests arrive at all processes or at one. Slots without demand are divided evenly,
 * so that new requests can start before other processes have received the new demand.
 */
export class DemandSlotDivision extends SlotDivision {
  override divide (input: SlotDivisionInput): SlotAllocation {
    const demands = input.teams.map(team => this._totalDemand(team))
    const allocations = weightedMaxMin(input.slots, input.teams.map((team, index) => ({
      weight: team.share,
      demand: Math.min(demands[index] ?? 0, team.limit)
    })))
    const byTeam = new Map<string | null, number>()
    let total = 0
    input.teams.forEach((team, index) => {
      const ownDemand = team.byMember.get(input.self) ?? 0
      const demand = demands[index] ?? 0
      if (ownDemand === 0 || demand === 0) return
      const allocation = (allocations[index] ?? 0) * ownDemand / demand
      byTeam.set(team.team, allocation)
      total += allocation
    })
    const unused = input.slots - allocations.reduce((sum, allocation) => sum + allocation, 0)
    return { total: total + unused / Math.max(1, input.members.length), byTeam }
  }

  private _totalDemand (team: TeamDemand): number {
    let sum = 0
    for (const demand of team.byMember.values()) sum += demand
    return sum
  }
}
