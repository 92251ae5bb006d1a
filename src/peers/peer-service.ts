/**
 * RPC methods that a component of the process provides to peers.
 */
import type { PeerChannel } from './peer-channel.js'

/** Adds its methods to every channel. */
export abstract class PeerService {
  /** Registers the methods on a channel that has just opened. */
  abstract registerMethods (channel: PeerChannel): void
}
