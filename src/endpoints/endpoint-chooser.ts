/**
 * The load balancing policy: which endpoint a request is sent to.
 */
import type { Maybe } from 'purify-ts/Maybe'
import type { EndpointCandidate } from './endpoint-candidate.js'

/** Chooses among the endpoints of a pool. */
export abstract class EndpointChooser {
  /**
   * Chooses an endpoint, or nothing if none can take the request.
   *
   * @param candidates endpoints that may be given new requests.
   * @param avoid VMs already tried for this request; chosen only if there are no others.
   */
  abstract choose (candidates: readonly EndpointCandidate[], avoid: ReadonlySet<string>): Maybe<EndpointCandidate>
}
