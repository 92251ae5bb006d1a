/**
 * The input for choosing an endpoint.
 */

/** Current load and health of one endpoint. */
export interface EndpointCandidate {
  readonly virtualMachine: string
  readonly availabilityZone: string
  /** Slots that may be used now; fewer than the pool defines during slow start. */
  readonly slots: number
  /** Requests from this process that the endpoint is handling. */
  readonly inFlight: number
  /** Requests from all processes that the endpoint was handling, as its last response reported. */
  readonly reportedRunning: number
  /** Recent response latency in milliseconds; 0 before the first response. */
  readonly latencyMilliseconds: number
  /** Whether the endpoint should get no requests because of recent failures or unanswered probes. */
  readonly isEjected: boolean
}
