/**
 * Grants that follow the work.
 */
import type { GrantPlan } from './grant-plan.js'
import { GrantPolicy } from './grant-policy.js'
import type { GrantSituation } from './grant-policy-input.js'

/**
 * While nobody lacks units, every process keeps an even part of the limit at hand, so that
 * a first request starts without waiting for the log. As soon as one does, units go where
 * work waits: from what is free, or from a process with idle units straight to it.
 */
export class DemandGrantPolicy extends GrantPolicy {
  override plan (situation: GrantSituation): GrantPlan {
    const { limit, granted, held, running, waiting } = situation
    if (granted > limit) return { adjust: -this._cutBack(situation), transfer: null }
    const free = limit - granted
    const wanted = Math.max(running + waiting, this._reserve(situation)) - held
    if (wanted > 0 && free > 0) return { adjust: Math.min(wanted, free), transfer: null }
    const transfer = this._pass(situation)
    if (transfer) return { adjust: 0, transfer: transfer }
    return { adjust: -this._forTasks(situation, free), transfer: null }
  }

  /**
   * Units kept without work: an even part while nobody lacks any, else one where the team
   * had work lately and none where it had not, so that nothing of the limit lies unused.
   */
  private _reserve ({ limit, members, isActive, tasksWaiting, wantedByOthers }: GrantSituation): number {
    const even = Math.floor(limit / Math.max(1, members))
    if (wantedByOthers.size === 0 && tasksWaiting === 0) return even
    return isActive ? Math.min(even, 1) : 0
  }

  /** Idle units given back because tasks wait that what is free doesn't cover. */
  private _forTasks (situation: GrantSituation, free: number): number {
    const { held, running, waiting, tasksWaiting } = situation
    const idle = held - Math.max(running + waiting, this._reserve(situation))
    return Math.max(0, Math.min(idle, tasksWaiting - free))
  }

  /** After a lowered limit: idle units above this process's part of the new one. */
  private _cutBack ({ limit, granted, held, running }: GrantSituation): number {
    const part = Math.floor(held * limit / granted)
    return Math.max(0, held - Math.max(part, running))
  }

  /** Idle units for the process that wants most. */
  private _pass (situation: GrantSituation): GrantPlan['transfer'] {
    const { held, running, waiting, wantedByOthers } = situation
    const idle = held - Math.max(running + waiting, this._reserve(situation))
    if (idle <= 0) return null
    const [neediest] = [...wantedByOthers].sort((left, right) => right[1] - left[1])
    return neediest ? { member: neediest[0], units: Math.min(idle, neediest[1]) } : null
  }
}
