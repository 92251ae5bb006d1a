/**
 * The connection to one peer, maintained for as long as the peer is a neighbour or a seed in use.
 */
import { connect, type TLSSocket } from 'node:tls'
import type { Metrics } from '../observability/metrics.js'
import { Heartbeat } from '../schemas/heartbeat.js'
import { HeartbeatResponse } from '../schemas/heartbeat-response.js'
import type { MemberStatus } from '../schemas/member-status.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import type { StateKeeper } from '../state/state-keeper.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { FleetSecret } from './fleet-secret.js'
import type { Membership } from './membership.js'
import { PeerChannel } from './peer-channel.js'
import type { PeerMethods } from './peer-methods.js'

/** Shortest time between two heartbeats when there are changes to pass on, in milliseconds. */
const MINIMUM_INTERVAL_MILLISECONDS = 20

/** Time limit for the response to a heartbeat, in milliseconds; after it the connection is closed. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 1_500

/** Time limit for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_500

/** Longest delay after the first failure, in milliseconds. */
const RETRY_BASE_DELAY_MILLISECONDS = 250

/** Longest delay between attempts to connect, in milliseconds. */
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 5_000

/** Connects, sends heartbeats until the connection fails or the peer stops responding, and reconnects after a backoff. */
export class PeerTask extends Task {
  override readonly name: string
  private readonly _backoff: Backoff
  private _channel: PeerChannel | null = null
  private _status: MemberStatus | null = null

  /** @param address where the peer listens. */
  constructor (
    readonly address: SocketAddress,
    private readonly _secret: FleetSecret,
    private readonly _membership: Membership,
    private readonly _methods: PeerMethods,
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock,
    random: RandomSource,
    private readonly _metrics: Metrics
  ) {
    super()
    this.name = `peer-${address.host}:${address.port}`
    this._backoff = new Backoff(_clock, random, RETRY_BASE_DELAY_MILLISECONDS, MAXIMUM_RETRY_DELAY_MILLISECONDS)
  }

  /** The peer's own status from its last response, or null. */
  get status (): MemberStatus | null {
    return this._status
  }

  /** The open channel, or null while there is none. */
  get channel (): PeerChannel | null {
    return this._channel
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const socket = await this._connect(signal)
      if (socket) await this._exchangeHeartbeats(new PeerChannel(socket, this._clock, this._metrics), signal)
      else this._metrics.count('peers.failures')
      if (!signal.aborted) await this._backoff.pause(signal)
    }
  }

  private async _exchangeHeartbeats (channel: PeerChannel, signal: AbortSignal): Promise<void> {
    this._metrics.count('peers.connects')
    this._methods.registerMethods(channel)
    this._channel = channel
    while (!signal.aborted && !channel.isClosed) {
      if (!await this._sendHeartbeat(channel)) break
      await this._awaitNextHeartbeat(signal)
    }
    this._channel = null
    channel.close()
  }

  /** Sends a heartbeat and applies the response; false if there was no valid response. */
  private async _sendHeartbeat (channel: PeerChannel): Promise<boolean> {
    const params: Heartbeat = { entry: this._membership.createOwnStatus(), wanted: this._membership.nextStatusRequests() }
    const deadline = this._clock.now() + HEARTBEAT_TIMEOUT_MILLISECONDS
    const response = await channel.call({ method: 'heartbeat', params, responseSchema: HeartbeatResponse, deadline })
    if (response.isLeft()) {
      response.ifLeft(error => this._metrics.count(error.kind === 'silent' ? 'peers.silent_connections' : 'peers.failures'))
      return false
    }
    this._backoff.reset()
    const { entries } = response.extract() as HeartbeatResponse
    this._methods.applyResponse(entries, channel)
    const [peerStatus] = entries
    this._status = peerStatus ?? null
    if (peerStatus && peerStatus.offset > this._keeper.state.offset && this._methods.needsRecordsFromPeers()) await this._methods.catchUp(channel)
    return true
  }

  /**
   * Waits until the next heartbeat is due: before the end of the interval after a change of configuration, and after
   * new records if the peer doesn't reach the log.
   */
  private async _awaitNextHeartbeat (signal: AbortSignal): Promise<void> {
    const { offset, configurationOffset } = this._keeper.state
    const startedAt = this._clock.now()
    const next = startedAt + this._membership.timing.intervalMilliseconds
    while (!signal.aborted && this._clock.now() < next) {
      await this._keeper.changed.wait(this._clock, next, signal)
      const { state } = this._keeper
      const peerNeedsRecords = state.offset > offset && this._status?.reachesLog === false
      if (!peerNeedsRecords && state.configurationOffset === configurationOffset) continue
      await this._clock.sleepUntil(startedAt + MINIMUM_INTERVAL_MILLISECONDS, signal).catch(() => {})
      return
    }
  }

  private async _connect (signal: AbortSignal): Promise<TLSSocket | null> {
    const socket = connect({ ...this._secret.clientOptions(), host: this.address.host, port: this.address.port })
    const deadline = this._clock.now() + CONNECT_TIMEOUT_MILLISECONDS
    const finished = new AbortController()
    const isConnected = await new Promise<boolean>(resolve => {
      socket.once('secureConnect', () => resolve(true))
      socket.once('error', () => resolve(false))
      socket.once('close', () => resolve(false))
      const stop = (): void => resolve(false)
      signal.addEventListener('abort', stop, { once: true })
      finished.signal.addEventListener('abort', () => signal.removeEventListener('abort', stop), { once: true })
      this._clock.sleepUntil(deadline, finished.signal).then(stop, () => {})
    })
    finished.abort()
    if (isConnected) return socket
    socket.destroy()
    return null
  }
}
