/**
 * Open channels by the member at the other end, whichever side opened the connection.
 */
import type { PeerChannel } from './peer-channel.js'

/** Maps members to channels; a channel's member is known from the first heartbeat over it. */
export class PeerChannelTable {
  private readonly _channels = new Map<string, PeerChannel>()

  /** Records that a channel leads to a member; an earlier channel that is still open stays in use. */
  recordChannel (member: string, channel: PeerChannel): void {
    if (this._channels.get(member)?.isClosed !== false) this._channels.set(member, channel)
  }

  /** An open channel to a member, if there is one. */
  get (member: string): PeerChannel | undefined {
    const channel = this._channels.get(member)
    return channel && !channel.isClosed ? channel : undefined
  }
}
