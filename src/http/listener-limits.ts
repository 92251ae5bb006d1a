/**
 * The bounds on clients of one listening address.
 */
import type { ClientBounds } from './client-bounds.js'

/** Names of the bounds that each listening address has. */
type ListenerBound = 'maximumConnections' | 'maximumConnectionsPerAddress' | 'headersTimeoutMilliseconds' | 'requestTimeoutMilliseconds'
  | 'keepAliveTimeoutMilliseconds' | 'responseReadTimeoutMilliseconds' | 'maximumPipelinedRequests' | 'maximumHeaderFields'

/** Bounds of a listening address. */
export interface ListenerLimits extends Pick<ClientBounds, ListenerBound> {
  /** Whether requests may have bodies. */
  readonly acceptsBodies: boolean
}
