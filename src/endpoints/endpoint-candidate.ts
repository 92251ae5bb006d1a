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
  /** Whether outcomes speak against it. */
  readonly isEjected: boolean
}
