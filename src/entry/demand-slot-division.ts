/**
 * Division of slots by share and demand over the whole fleet.
 */
import type { DivisionInput } from './slot-division-input.js'
import type { SlotAllotment } from './slot-allocation.js'
import { SlotDivision } from './slot-division.js'
import type { TeamDemands } from './team-demand.js'
import { weightedMaxMin } from './weighted-max-min.js'

/**
 * First divides the slots among the teams by share, then each team's part among the entry
 * processes by where its demand is. A team gets the same whether it spreads over all
 * processes or sits at one. Slots that nobody wants are spread evenly, so that new work
 * can start before the others have heard of it.
 */
export class DemandSlotDivision extends SlotDivision {
  override divide (input: DivisionInput): SlotAllotment {
    const demands = input.teams.map(team => this._demandOf(team))
    const given = weightedMaxMin(input.slots, input.teams.map((team, index) => ({
      weight: team.share,
      demand: Math.min(demands[index] ?? 0, team.limit)
    })))
    const byTeam = new Map<string | null, number>()
    let total = 0
    input.teams.forEach((team, index) => {
      const own = team.byMember.get(input.self) ?? 0
      const demand = demands[index] ?? 0
      if (own === 0 || demand === 0) return
      const part = (given[index] ?? 0) * own / demand
      byTeam.set(team.team, part)
      total += part
    })
    const unused = input.slots - given.reduce((sum, part) => sum + part, 0)
    return { total: total + unused / Math.max(1, input.members.length), byTeam }
  }

  private _demandOf (team: TeamDemands): number {
    let sum = 0
    for (const demand of team.byMember.values()) sum += demand
    return sum
  }
}
