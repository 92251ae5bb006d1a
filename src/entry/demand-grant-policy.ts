/**
 * A grant policy that moves units to the processes that need them.
 */
import type { GrantPlan } from './grant-plan.js'
import { GrantPolicy } from './grant-policy.js'
import type { GrantPolicyInput } from './grant-policy-input.js'

/**
 * While no process lacks units, each keeps an even fraction of the limit, so that a first
 * request starts without waiting for the log. As soon as one lacks units, it takes them
 * from those that no process holds, and processes with idle units transfer them to it directly.
 */
export class DemandGrantPolicy extends GrantPolicy {
  override plan (input: GrantPolicyInput): GrantPlan {
    const { limit, granted, held, running, waiting } = input
    if (granted > limit) return { adjust: -this._excessUnits(input), transfer: null }
    const free = limit - granted
    const wanted = Math.max(running + waiting, this._idleAllowance(input)) - held
    if (wanted > 0 && free > 0) return { adjust: Math.min(wanted, free), transfer: null }
    const transfer = this._planTransfer(input)
    if (transfer) return { adjust: 0, transfer }
    return { adjust: -this._unitsForTasks(input, free), transfer: null }
  }

  /**
   * Units that may be held idle: an even fraction of the limit while no process or task
   * lacks units; otherwise one if the team was active here recently and none if not, so
   * that no part of the limit stays unused.
   */
  private _idleAllowance ({ limit, members, isActive, tasksWaiting, wantedByOthers }: GrantPolicyInput): number {
    const evenUnits = Math.floor(limit / Math.max(1, members))
    if (wantedByOthers.size === 0 && tasksWaiting === 0) return evenUnits
    return isActive ? Math.min(evenUnits, 1) : 0
  }

  /** Idle units to return because free units don't cover the team's waiting tasks. */
  private _unitsForTasks (input: GrantPolicyInput, free: number): number {
    const { held, running, waiting, tasksWaiting } = input
    const idle = held - Math.max(running + waiting, this._idleAllowance(input))
    return Math.max(0, Math.min(idle, tasksWaiting - free))
  }

  /** Idle units to return after the limit was lowered: those above this process's proportion of the new limit. */
  private _excessUnits ({ limit, granted, held, running }: GrantPolicyInput): number {
    const retained = Math.floor(held * limit / granted)
    return Math.max(0, held - Math.max(retained, running))
  }

  /** Transfers idle units to the process that lacks most. */
  private _planTransfer (input: GrantPolicyInput): GrantPlan['transfer'] {
    const { held, running, waiting, wantedByOthers } = input
    const idle = held - Math.max(running + waiting, this._idleAllowance(input))
    if (idle <= 0) return null
    const [receiver] = [...wantedByOthers].sort((left, right) => right[1] - left[1])
    return receiver ? { member: receiver[0], units: Math.min(idle, receiver[1]) } : null
  }
}
