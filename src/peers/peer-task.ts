/**
 * The connection to one peer, kept up for as long as the peer is a neighbour.
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

/** Shortest time between two heartbeats when there is news to pass on, in milliseconds. */
const NEWS_INTERVAL_MILLISECONDS = 20

/** Silence after which the connection is given up, in milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 1_500

/** Limit on establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_500

/** Longest pause after the first failure, in milliseconds. */
const RETRY_BASE_MILLISECONDS = 250

/** Longest pause between attempts to connect, in milliseconds. */
const RETRY_CEILING_MILLISECONDS = 5_000

/** Connects, exchanges heartbeats until the connection fails or falls silent, and connects again. */
export class PeerTask extends Task {
  override readonly name: string
  private readonly _backoff: Backoff
  private _channel: PeerChannel | null = null
  private _entry: MemberStatus | null = null

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
    this._backoff = new Backoff(_clock, random, RETRY_BASE_MILLISECONDS, RETRY_CEILING_MILLISECONDS)
  }

  /** The peer's own account at its last answer, or null. */
  get entry (): MemberStatus | null {
    return this._entry
  }

  /** The open channel, or null while there is none. */
  get channel (): PeerChannel | null {
    return this._channel
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const socket = await this._connect(signal)
      if (socket) await this._converse(new PeerChannel(socket, this._clock, this._metrics), signal)
      else this._metrics.count('peers.failures')
      if (!signal.aborted) await this._backoff.pause(signal)
    }
  }

  private async _converse (channel: PeerChannel, signal: AbortSignal): Promise<void> {
    this._metrics.count('peers.connects')
    this._methods.offerOn(channel)
    this._channel = channel
    while (!signal.aborted && !channel.isClosed) {
      if (!await this._beat(channel)) break
      await this._awaitNextBeat(signal)
    }
    this._channel = null
    channel.close()
  }

  /** One heartbeat; false if the peer didn't answer. */
  private async _beat (channel: PeerChannel): Promise<boolean> {
    const params: Heartbeat = { entry: this._membership.createOwnStatus(), wanted: this._membership.takeWanted() }
    const deadline = this._clock.now() + ANSWER_TIMEOUT_MILLISECONDS
    const answer = await channel.call({ method: 'heartbeat', params, responseSchema: HeartbeatResponse, deadline })
    if (answer.isLeft()) {
      answer.ifLeft(error => this._metrics.count(error.kind === 'silent' ? 'peers.silent_connections' : 'peers.failures'))
      return false
    }
    this._backoff.reset()
    const { entries } = answer.extract() as HeartbeatResponse
    this._methods.takeAnswer(entries, channel)
    const [peer] = entries
    this._entry = peer ?? null
    if (peer && peer.offset > this._keeper.state.offset && this._methods.isBehind()) await this._methods.catchUp(channel)
    return true
  }

  /** Waits for the next beat; sooner after a change of configuration, and for new records that the peer cannot get by itself. */
  private async _awaitNextBeat (signal: AbortSignal): Promise<void> {
    const { offset, configurationOffset } = this._keeper.state
    const startedAt = this._clock.now()
    const next = startedAt + this._membership.timing.intervalMilliseconds
    while (!signal.aborted && this._clock.now() < next) {
      await this._keeper.changed.wait(this._clock, next, signal)
      const { state } = this._keeper
      const peerNeedsRecords = state.offset > offset && this._entry?.reachesLog === false
      if (!peerNeedsRecords && state.configurationOffset === configurationOffset) continue
      await this._clock.sleepUntil(startedAt + NEWS_INTERVAL_MILLISECONDS, signal).catch(() => {})
      return
    }
  }

  private async _connect (signal: AbortSignal): Promise<TLSSocket | null> {
    const socket = connect({ ...this._secret.clientOptions(), host: this.address.host, port: this.address.port })
    const deadline = this._clock.now() + CONNECT_TIMEOUT_MILLISECONDS
    const over = new AbortController()
    const isConnected = await new Promise<boolean>(resolve => {
      socket.once('secureConnect', () => resolve(true))
      socket.once('error', () => resolve(false))
      socket.once('close', () => resolve(false))
      const stop = (): void => resolve(false)
      signal.addEventListener('abort', stop, { once: true })
      over.signal.addEventListener('abort', () => signal.removeEventListener('abort', stop), { once: true })
      this._clock.sleepUntil(deadline, over.signal).then(stop, () => {})
    })
    over.abort()
    if (isConnected) return socket
    socket.destroy()
    return null
  }
}
