/**
 * Grants that follow the work.
 */
import type { GrantPlan } from './grant-plan.js'
import { GrantPolicy } from './grant-policy.js'
import type { GrantSituation } from './grant-situation.js'

/**
 * Every process keeps an even part of the limit at hand, so that a first request starts
 * without waiting for the log. Beyond that units go where work waits: from what is free,
 * or from a process with idle units straight to one that wants them.
 */
export class DemandGrantPolicy extends GrantPolicy {
  override plan (situation: GrantSituation): GrantPlan {
    const { limit, granted, held, running, waiting } = situation
    const excess = granted - limit
    if (excess > 0) return { adjust: -this._cutBack(situation), pass: null }
    const base = this._base(situation)
    const free = limit - granted
    const wanted = Math.max(running + waiting, base) - held
    if (wanted > 0 && free > 0) return { adjust: Math.min(wanted, free), pass: null }
    return { adjust: 0, pass: this._pass(situation, base) }
  }

  /** Even part of the limit. */
  private _base ({ limit, members }: GrantSituation): number {
    return Math.floor(limit / Math.max(1, members))
  }

  /** After a lowered limit: idle units above this process's part of the new one. */
  private _cutBack ({ limit, granted, held, running }: GrantSituation): number {
    const part = Math.floor(held * limit / granted)
    return Math.max(0, held - Math.max(part, running))
  }

  /**
   * Idle units for the process that wants most. Others' want goes before one's own even
   * part, of which one unit stays here so that the next request can start.
   */
  private _pass ({ held, running, waiting, wantedByOthers }: GrantSituation, base: number): GrantPlan['pass'] {
    const kept = Math.min(base, 1)
    const idle = held - Math.max(running + waiting, kept)
    if (idle <= 0) return null
    const [neediest] = [...wantedByOthers].sort((left, right) => right[1] - left[1])
    if (!neediest || neediest[1] <= 0) return null
    return { member: neediest[0], units: Math.min(idle, neediest[1]) }
  }
}
