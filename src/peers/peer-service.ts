/**
 * What a part of the process offers to peers.
 */
import type { PeerChannel } from './peer-channel.js'

/** Offers methods on every channel. */
export abstract class PeerService {
  /** Offers the methods on a channel that has just opened. */
  abstract registerMethods (channel: PeerChannel): void
}
