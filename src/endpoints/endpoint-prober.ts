/**
 * One question to an endpoint about its health.
 */
import type { Maybe } from 'purify-ts/Maybe'
import type { EndpointHealth } from '../schemas/endpoint-health.js'
import type { SocketAddress } from '../schemas/socket-address.js'

/** Asks endpoints how they are, each time over a new connection. */
export abstract class EndpointProber {
  /** The endpoint's account, or nothing if it doesn't answer in time or answers nonsense. */
  abstract probe (address: SocketAddress): Promise<Maybe<EndpointHealth>>
}
