/**
 * Which endpoint a request goes to.
 */
import type { Maybe } from 'purify-ts/Maybe'
import type { EndpointCandidate } from './endpoint-candidate.js'

/** Chooses among the endpoints of a pool. */
export abstract class EndpointChooser {
  /**
   * Chooses one.
   *
   * @param candidates endpoints on which work may start.
   * @param avoid VMs already tried for this request; used only if there is nothing else.
   */
  abstract choose (candidates: readonly EndpointCandidate[], avoid: ReadonlySet<string>): Maybe<EndpointCandidate>
}
