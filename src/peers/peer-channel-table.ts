/**
 * Open channels by the member at their other end, whichever side opened them.
 */
import type { PeerChannel } from './peer-channel.js'

/** Learns from heartbeats who is at the other end. */
export class PeerChannelTable {
  private readonly _channels = new Map<string, PeerChannel>()

  /** Notes that a member speaks on a channel. */
  note (member: string, channel: PeerChannel): void {
    if (this._channels.get(member)?.isClosed !== false) this._channels.set(member, channel)
  }

  /** An open channel to a member, if there is one. */
  get (member: string): PeerChannel | undefined {
    const channel = this._channels.get(member)
    return channel && !channel.isClosed ? channel : undefined
  }
}
