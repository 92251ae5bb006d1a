/**
 * What this entry process may do with the view that it has.
 */
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'

/** Applies the policy for entry VMs that are cut off. */
export class CutOffGuard {
  /** @param _availabilityZone of this process. */
  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock,
    private readonly _availabilityZone: string
  ) {}

  /** Whether the view may lack a change that is in force elsewhere. */
  get isCutOff (): boolean {
    return this._clock.now() > this._keeper.freshAt + this._keeper.state.cutOffPolicy.value.staleAfterMilliseconds
  }

  /** Whether work may start on endpoints of a zone. */
  mayDispatchIn (availabilityZone: string): boolean {
    if (!this.isCutOff) return true
    const policy = this._keeper.state.cutOffPolicy.value
    return availabilityZone === this._availabilityZone ? policy.dispatchInOwnZone : policy.dispatchInOtherZones
  }

  /** Whether keys that were known before the cut count. */
  acceptsKnownKeys (): boolean {
    return !this.isCutOff || this._keeper.state.cutOffPolicy.value.acceptKnownKeys
  }
}
