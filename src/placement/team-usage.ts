/**
 * Resource usage of each team across the fleet.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { Resources } from '../jobs/resources.js'
import { addResources } from './add-resources.js'

const NO_RESOURCES: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** Counts the demands of all placed tasks, including runs that are being stopped and runs whose start is unconfirmed. */
export class TeamUsage {
  private readonly _used = new Map<string, Resources>()

  constructor (private readonly _configuration: ConfigurationFollowerTask) {}

  /** Returns the resources that a team uses. */
  used (team: string): Resources {
    return this._used.get(team) ?? NO_RESOURCES
  }

  /** Adds a demand to a team's usage, or subtracts it if `factor` is -1. */
  add (team: string, demand: Resources, factor: 1 | -1): void {
    this._used.set(team, addResources(this.used(team), demand, factor))
  }

  /** Returns whether a team stays within its upper limit with one more demand. Work without a team, on queues open to all, has no limit. */
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
