/**
 * What the choice of an endpoint goes by.
 */

/** An endpoint as plain data. */
export interface EndpointCandidate {
  readonly virtualMachine: string
  readonly availabilityZone: string
  /** Slots that it should be given now; less than its own while it starts slowly. */
  readonly slots: number
  /** Requests of this process that it has. */
  readonly inFlight: number
  /** Requests of all processes that it had at its last answer. */
  readonly reportedRunning: number
  /** Time that its answers have taken lately, in milliseconds; 0 if it has given none. */
  readonly latencyMilliseconds: number
  /** Whether outcomes speak against it. */
  readonly isEjected: boolean
}
