/**
 * What each team has running in the whole fleet.
 */
import type { ConfigurationTask } from '../configuration/configuration-task.js'
import type { Resources } from '../jobs/resources.js'
import { addResources } from './add-resources.js'

const NO_RESOURCES: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** Counts room held, also by runs that are being stopped or may have started unheard. */
export class TeamUsage {
  private readonly _used = new Map<string, Resources>()

  constructor (private readonly _configuration: ConfigurationTask) {}

  /** What a team holds. */
  used (team: string): Resources {
    return this._used.get(team) ?? NO_RESOURCES
  }

  /** Adds to a team's use, or takes away from it with `factor` -1. */
  add (team: string, demand: Resources, factor: 1 | -1): void {
    this._used.set(team, addResources(this.used(team), demand, factor))
  }

  /** Whether a team may have so much more running. Work of no team, on queues open to all, has no limit. */
  isWithinUpperLimit (team: string, demand: Resources): boolean {
    const limit = this._configuration.team(team)?.upperLimit
    if (!limit) return true
    const { millicores, memoryMegabytes, accelerators } = addResources(this.used(team), demand)
    return this._isAmountWithin(millicores, limit.millicores) &&
      this._isAmountWithin(memoryMegabytes, limit.memoryMegabytes) &&
      this._isAmountWithin(accelerators, limit.accelerators)
  }

  private _isAmountWithin (amount: number, limit: number): boolean {
    return limit === 0 || amount <= limit
  }
}
