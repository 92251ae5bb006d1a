/**
 * RPC methods that a process provides to its peers.
 */
import * as z from 'zod'
import type { PlatformLog } from '../state/platform-log.js'
import { Heartbeat } from '../schemas/heartbeat.js'
import type { HeartbeatResponse } from '../schemas/heartbeat-response.js'
import { RecordsResponse } from '../schemas/records-response.js'
import { RelayedAppend } from '../schemas/relayed-append.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { Membership } from './membership.js'
import type { PeerChannel } from './peer-channel.js'
import type { PeerChannelTable } from './peer-channel-table.js'
import type { PeerService } from './peer-service.js'

/** Time limit for fetching records from a peer, in milliseconds. */
const RECORDS_TIMEOUT_MILLISECONDS = 5_000

/** Decides how to respond to peers, independently of how messages are encoded. */
export class PeerMethods {
  /** @param _relay appends records for peers, directly or through another peer. */
  constructor (
    private readonly _membership: Membership,
    private readonly _keeper: StateKeeper,
    private readonly _relay: PlatformLog,
    private readonly _channels: PeerChannelTable,
    private readonly _services: readonly PeerService[],
    private readonly _clock: Clock
  ) {}

  /** Registers all methods on a channel. */
  registerMethods (channel: PeerChannel): void {
    channel.registerMethod('heartbeat', Heartbeat, async heartbeat => {
      this._channels.recordChannel(heartbeat.entry.member, channel)
      this._membership.applyStatuses([heartbeat.entry])
      if (heartbeat.entry.offset > this._keeper.state.offset && this.needsRecordsFromPeers()) void this.catchUp(channel)
      return this._respond(heartbeat)
    })
    channel.registerMethod('records', z.object({ after: z.number().int().min(0) }), async ({ after }) => this._keeper.recordsSince(after))
    channel.registerMethod('append', RelayedAppend, async relayed => this._append(relayed))
    for (const service of this._services) service.registerMethods(channel)
  }

  /** Applies the statuses of a heartbeat response; the first one is that of the peer at the other end. */
  applyResponse (statuses: HeartbeatResponse['entries'], channel: PeerChannel): void {
    const [peerStatus] = statuses
    if (peerStatus) this._channels.recordChannel(peerStatus.member, channel)
    this._membership.applyStatuses(statuses)
  }

  /** Whether this process has to fetch records from peers because it doesn't reach the log. */
  needsRecordsFromPeers (): boolean {
    return !this._membership.reachesLogDirectly
  }

  /** Fetches missing records, or a snapshot that includes them, from a peer. */
  async catchUp (channel: PeerChannel): Promise<void> {
    const response = await channel.call({
      method: 'records',
      params: { after: this._keeper.state.offset },
      responseSchema: RecordsResponse,
      deadline: this._clock.now() + RECORDS_TIMEOUT_MILLISECONDS
    })
    response.ifRight(({ records, snapshot }) => {
      if (snapshot) this._keeper.loadSnapshot(snapshot)
      this._keeper.applyRecords(records)
    })
  }

  private _respond (heartbeat: Heartbeat): HeartbeatResponse {
    return { entries: [this._membership.createOwnStatus(), ...this._membership.statusesNewerThan(heartbeat.wanted)] }
  }

  private async _append ({ records, deadline, remainingHops }: RelayedAppend): Promise<{ isWritten: boolean }> {
    const result = await this._relay.append(records, deadline, AbortSignal.timeout(Math.max(1, deadline - this._clock.now())), remainingHops)
    return { isWritten: result.isRight() }
  }
}
