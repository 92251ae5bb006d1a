/**
 * The interface for health probes of endpoints.
 */
import type { Maybe } from 'purify-ts/Maybe'
import type { EndpointHealth } from '../schemas/endpoint-health.js'
import type { SocketAddress } from '../schemas/socket-address.js'

/** Sends each probe over a new connection. */
export abstract class EndpointProber {
  /** Returns the endpoint's health, or nothing if it does not respond in time or the response is invalid. */
  abstract probe (address: SocketAddress): Promise<Maybe<EndpointHealth>>
}
