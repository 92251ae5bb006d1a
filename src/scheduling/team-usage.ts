/**
 * What each team has running in the whole fleet.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { Resources } from '../jobs/resources.js'
import { addResources } from './add-resources.js'

const NOTHING: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** Counts room held, also by runs that are being stopped or may have started unheard. */
export class TeamUsage {
  private readonly _used = new Map<string, Resources>()

  constructor (private readonly _configuration: ConfigurationFollowerTask) {}

  /** What a team holds. */
  used (team: string): Resources {
    return this._used.get(team) ?? NOTHING
  }

  /** Adds to a team's use, or takes away from it with `factor` -1. */
  add (team: string, demand: Resources, factor: 1 | -1): void {
    this._used.set(team, addResources(this.used(team), demand, factor))
  }

  /** Whether a team may have so much more running. Work of no team, on queues open to all, has no limit. */
  mayHave (team: string, demand: Resources): boolean {
    const limit = this._configuration.team(team)?.upperLimit
    if (!limit) return true
    const { millicores, memoryMegabytes, accelerators } = addResources(this.used(team), demand)
    return this._isWithin(millicores, limit.millicores) &&
      this._isWithin(memoryMegabytes, limit.memoryMegabytes) &&
      this._isWithin(accelerators, limit.accelerators)
  }

  private _isWithin (amount: number, limit: number): boolean {
    return limit === 0 || amount <= limit
  }
}
