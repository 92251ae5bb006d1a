/**
 * Limits what an entry process does while its view of the configuration is stale.
 */
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'

/** Applies the cut-off policy: what an entry VM that is cut off from the log may still do. */
export class CutOffGuard {
  /** @param _availabilityZone of this process. */
  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock,
    private readonly _availabilityZone: string
  ) {}

  /** Whether the view is so old that it may lack a change that is in force elsewhere. */
  get isCutOff (): boolean {
    return this._clock.now() > this._keeper.freshAt + this._keeper.state.cutOffPolicy.value.staleAfterMilliseconds
  }

  /** Whether requests may be dispatched to endpoints in an availability zone. */
  mayDispatchIn (availabilityZone: string): boolean {
    if (!this.isCutOff) return true
    const policy = this._keeper.state.cutOffPolicy.value
    return availabilityZone === this._availabilityZone ? policy.dispatchInOwnZone : policy.dispatchInOtherZones
  }

  /** Whether keys in the current view are accepted. */
  acceptsKnownKeys (): boolean {
    return !this.isCutOff || this._keeper.state.cutOffPolicy.value.acceptKnownKeys
  }
}
