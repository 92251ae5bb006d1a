/**
 * What is remembered of a request between its attempts.
 */
import type { AttemptFailure } from '../endpoints/attempt-failure.js'
import type { EndpointCandidate } from '../endpoints/endpoint-candidate.js'
import type { Clock } from '../supervision/clock.js'

/** Part of a request's time, and least time in milliseconds, that must be left to try another endpoint. */
const LAST_TRY_PART = 0.1
const MINIMUM_LAST_TRY_MILLISECONDS = 20

/** Attempts after which an endpoint of another availability zone is looked for. */
const ATTEMPTS_BEFORE_OTHER_ZONE = 2

/** Counts attempts, knows whether one is in doubt, and what to avoid next. */
export class RequestProgress {
  private readonly _lastTryDeadline: number
  private readonly _avoidedMachines = new Set<string>()
  private readonly _avoidedZones = new Set<string>()
  private _attempts = 0
  private _isInDoubt = false

  /** @param deadline of the request, epoch milliseconds. */
  constructor (private readonly _clock: Clock, deadline: number) {
    const now = _clock.now()
    this._lastTryDeadline = deadline - Math.max(MINIMUM_LAST_TRY_MILLISECONDS, (deadline - now) * LAST_TRY_PART)
  }

  /** Attempts that chose an endpoint and failed. */
  get attempts (): number {
    return this._attempts
  }

  /** Whether an attempt was sent whose outcome isn't known. */
  get isInDoubt (): boolean {
    return this._isInDoubt
  }

  /** After this, epoch milliseconds, no other endpoint is tried. */
  get lastTryDeadline (): number {
    return this._lastTryDeadline
  }

  /** Whether another try may begin. One begun too late would be broken off under way, and turn a true "not run" into doubt. */
  hasTime (signal: AbortSignal): boolean {
    return !signal.aborted && this._clock.now() < this._lastTryDeadline
  }

  /** Notes a failed attempt. */
  noteFailure (failure: AttemptFailure, availabilityZone: string): void {
    this._attempts += 1
    this._avoidedMachines.add(failure.virtualMachine)
    this._avoidedZones.add(availabilityZone)
    if (!failure.isNotRun) this._isInDoubt = true
  }

  /** VMs to avoid: those that failed the request, and after some attempts all of their zones. */
  avoided (candidates: readonly EndpointCandidate[], refusers: ReadonlySet<string>): Set<string> {
    const avoided = new Set([...this._avoidedMachines, ...refusers])
    if (this._attempts < ATTEMPTS_BEFORE_OTHER_ZONE) return avoided
    for (const candidate of candidates) {
      if (this._avoidedZones.has(candidate.availabilityZone)) avoided.add(candidate.virtualMachine)
    }
    return avoided
  }
}
