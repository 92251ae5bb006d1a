/**
 * The failed attempts at one request.
 */
import type { AttemptFailure } from '../endpoints/attempt-failure.js'
import type { EndpointCandidate } from '../endpoints/endpoint-candidate.js'
import type { Clock } from '../supervision/clock.js'

/** Fraction of a request's total time that must remain to start another attempt, and the minimum of this time. */
const LAST_ATTEMPT_FRACTION = 0.1
const MINIMUM_LAST_ATTEMPT_MILLISECONDS = 20

/** Number of failed attempts after which endpoints in other availability zones are preferred. */
const ATTEMPTS_BEFORE_OTHER_ZONE = 2

/** Records failed attempts, whether one of them may have run the request, and which endpoints the next one should avoid. */
export class AttemptHistory {
  private readonly _lastAttemptDeadline: number
  private readonly _failedVirtualMachines = new Set<string>()
  private readonly _failedZones = new Set<string>()
  private _failedAttempts = 0
  private _hasUnconfirmedAttempt = false

  /** @param deadline of the request, epoch milliseconds. */
  constructor (private readonly _clock: Clock, deadline: number) {
    const now = _clock.now()
    this._lastAttemptDeadline = deadline - Math.max(MINIMUM_LAST_ATTEMPT_MILLISECONDS, (deadline - now) * LAST_ATTEMPT_FRACTION)
  }

  /** Number of failed attempts for which an endpoint had been chosen. */
  get failedAttempts (): number {
    return this._failedAttempts
  }

  /** Whether an attempt was sent whose outcome is unknown. */
  get hasUnconfirmedAttempt (): boolean {
    return this._hasUnconfirmedAttempt
  }

  /** Time after which no further attempt starts, in epoch milliseconds. */
  get lastAttemptDeadline (): number {
    return this._lastAttemptDeadline
  }

  /** Whether another attempt may start. One that started too late would be aborted at the deadline, and the outcome `not-run` would become `unknown`. */
  hasTimeForAttempt (signal: AbortSignal): boolean {
    return !signal.aborted && this._clock.now() < this._lastAttemptDeadline
  }

  /** Records a failed attempt. */
  recordFailure (failure: AttemptFailure, availabilityZone: string): void {
    this._failedAttempts += 1
    this._failedVirtualMachines.add(failure.virtualMachine)
    this._failedZones.add(availabilityZone)
    if (!failure.isNotRun) this._hasUnconfirmedAttempt = true
  }

  /** VMs to avoid in the next attempt: those that refused it or failed, and after several failures all candidates in their availability zones. */
  virtualMachinesToAvoid (candidates: readonly EndpointCandidate[], refusedBy: ReadonlySet<string>): Set<string> {
    const avoided = new Set([...this._failedVirtualMachines, ...refusedBy])
    if (this._failedAttempts < ATTEMPTS_BEFORE_OTHER_ZONE) return avoided
    for (const candidate of candidates) {
      if (this._failedZones.has(candidate.availabilityZone)) avoided.add(candidate.virtualMachine)
    }
    return avoided
  }
}
