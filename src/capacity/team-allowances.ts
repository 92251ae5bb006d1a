/**
 * What teams may still start under their upper limits.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { Resources } from '../jobs/resources.js'
import type { TeamUsage } from '../placement/team-usage.js'

const RESOURCE_FIELDS = ['millicores', 'memoryMegabytes', 'accelerators'] as const

/** Counts, for one round, the waiting tasks that their teams' upper limits let start: the others need no workers, however many there are. */
export class TeamAllowances {
  private readonly _remainingByTeam = new Map<string, Resources>()

  constructor (private readonly _configuration: ConfigurationFollowerTask, private readonly _usage: TeamUsage) {}

  /** Takes as many of `count` tasks as the team's upper limit leaves, and returns their number. */
  take (team: string, demand: Resources, count: number): number {
    const remaining = this._remainingByTeam.get(team) ?? this._initial(team)
    const taken = Math.max(0, Math.min(count, ...RESOURCE_FIELDS.map(field => demand[field] === 0 ? Infinity : Math.floor(remaining[field] / demand[field]))))
    this._remainingByTeam.set(team, {
      millicores: remaining.millicores - taken * demand.millicores,
      memoryMegabytes: remaining.memoryMegabytes - taken * demand.memoryMegabytes,
      accelerators: remaining.accelerators - taken * demand.accelerators
    })
    return taken
  }

  private _initial (team: string): Resources {
    const limit = this._configuration.team(team)?.upperLimit
    const used = this._usage.used(team)
    // 0 means no limit.
    const left = (field: typeof RESOURCE_FIELDS[number]): number => limit && limit[field] > 0 ? limit[field] - used[field] : Infinity
    return { millicores: left('millicores'), memoryMegabytes: left('memoryMegabytes'), accelerators: left('accelerators') }
  }
}
