/**
 * Decides how to go on while the platform refuses orders to VMs.
 */
import type { Clock } from '../supervision/clock.js'

/** Time for which orders are refused before VMs are opened again, in milliseconds; above the second in which too many orders are refused. */
const PATIENCE_MILLISECONDS = 1_200

/** Time between a refusal and the next trial, in milliseconds. */
const TRIAL_INTERVAL_MILLISECONDS = 1_000

/** Time that a trial may take, in milliseconds: evacuation with its grace period, and the order. */
const TRIAL_TIMEOUT_MILLISECONDS = 6_000

/**
 * Tells for which VMs orders may be prepared. A VM that waits for its order gets no tasks, so while the platform refuses every order, for want of capacity or because it is away, one VM
 * at a time is evacuated, to find out when orders are taken again.
 */
export class OrderRefusals {
  /** Epoch milliseconds of the first refusal since the platform last took an order; 0 if there was none. */
  private _refusedSince = 0
  /** VM for which an order is being tried, or null. */
  private _trial: string | null = null
  /** Epoch milliseconds at which that trial is given up. */
  private _trialDeadline = 0
  /** Epoch milliseconds from which on the next trial may begin. */
  private _nextTrialAt = 0

  constructor (private readonly _clock: Clock) {}

  /** Records that the platform has refused an order for now, without any effect. */
  recordRefusal (virtualMachine: string): void {
    const now = this._clock.now()
    if (this._refusedSince === 0) this._refusedSince = now
    this._endTrial(virtualMachine, now)
  }

  /** Records that the platform has decided on an order. */
  recordDecision (): void {
    this._refusedSince = 0
    this._trial = null
  }

  /** Returns whether a VM may be evacuated for an order, or kept so; while orders are refused, the first one that asks is tried. */
  permits (virtualMachine: string): boolean {
    const now = this._clock.now()
    if (this._refusedSince === 0 || now < this._refusedSince + PATIENCE_MILLISECONDS) return true
    if (this._trial !== null && now >= this._trialDeadline) this._endTrial(this._trial, now)
    if (this._trial === null && now >= this._nextTrialAt) {
      this._trial = virtualMachine
      this._trialDeadline = now + TRIAL_TIMEOUT_MILLISECONDS
    }
    return this._trial === virtualMachine
  }

  private _endTrial (virtualMachine: string, now: number): void {
    this._nextTrialAt = now + TRIAL_INTERVAL_MILLISECONDS
    if (this._trial === virtualMachine) this._trial = null
  }
}
