/**
 * What a process does for its peers.
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

/** Limit on a peer's answer with records, in milliseconds. */
const RECORDS_TIMEOUT_MILLISECONDS = 5_000

/** Decides what to answer; knows nothing of how messages are encoded. */
export class PeerMethods {
  /** @param _relay appends for peers; reaches the log directly or through another peer. */
  constructor (
    private readonly _membership: Membership,
    private readonly _keeper: StateKeeper,
    private readonly _relay: PlatformLog,
    private readonly _channels: PeerChannelTable,
    private readonly _services: readonly PeerService[],
    private readonly _clock: Clock
  ) {}

  /** Offers everything over a channel. */
  offerOn (channel: PeerChannel): void {
    channel.registerMethod('heartbeat', Heartbeat, async heartbeat => {
      this._channels.note(heartbeat.entry.member, channel)
      this._membership.applyStatuses([heartbeat.entry])
      if (heartbeat.entry.offset > this._keeper.state.offset && this.isBehind()) void this.catchUp(channel)
      return this._answer(heartbeat)
    })
    channel.registerMethod('records', z.object({ after: z.number().int().min(0) }), async ({ after }) => this._keeper.recordsSince(after))
    channel.registerMethod('append', RelayedAppend, async relayed => this._append(relayed))
    for (const service of this._services) service.registerMethods(channel)
  }

  /** Takes the accounts of an answer that came over a channel, the other end's own first. */
  takeAnswer (entries: HeartbeatResponse['entries'], channel: PeerChannel): void {
    const [peer] = entries
    if (peer) this._channels.note(peer.member, channel)
    this._membership.applyStatuses(entries)
  }

  /** Whether records should come from peers: the log gives none, so they are the only way. */
  isBehind (): boolean {
    return !this._membership.reachesLogDirectly
  }

  /** Fetches from a peer what is missing here. */
  async catchUp (channel: PeerChannel): Promise<void> {
    const answer = await channel.call({
      method: 'records',
      params: { after: this._keeper.state.offset },
      responseSchema: RecordsResponse,
      deadline: this._clock.now() + RECORDS_TIMEOUT_MILLISECONDS
    })
    answer.ifRight(({ records, snapshot }) => {
      if (snapshot) this._keeper.loadSnapshot(snapshot)
      this._keeper.applyRecords(records)
    })
  }

  private _answer (heartbeat: Heartbeat): HeartbeatResponse {
    return { entries: [this._membership.createOwnStatus(), ...this._membership.newerThan(heartbeat.wanted)] }
  }

  private async _append ({ records, deadline, remainingHops }: RelayedAppend): Promise<{ isWritten: boolean }> {
    const result = await this._relay.append(records, deadline, AbortSignal.timeout(Math.max(1, deadline - this._clock.now())), remainingHops)
    return { isWritten: result.isRight() }
  }
}
