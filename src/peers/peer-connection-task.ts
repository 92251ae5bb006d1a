/**
 * A connection that a peer has opened to this process.
 */
import type { TLSSocket } from 'node:tls'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import { PeerChannel } from './peer-channel.js'
import type { PeerMethods } from './peer-methods.js'

/** Silence after which the connection is closed, in milliseconds; a running peer sends heartbeats more often. */
const SILENCE_TIMEOUT_MILLISECONDS = 5_000

/** Serves the peer's calls until the connection is closed or silent for too long. */
export class PeerConnectionTask extends Task {
  override readonly name = 'peer-connection'

  constructor (
    private readonly _socket: TLSSocket,
    private readonly _methods: PeerMethods,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const channel = new PeerChannel(this._socket, this._clock, this._metrics)
    this._methods.registerMethods(channel)
    const finished = new AbortController()
    const stop = (): void => finished.abort()
    signal.addEventListener('abort', stop, { once: true })
    void channel.waitUntilClosed().then(stop)
    while (!finished.signal.aborted && this._clock.now() < channel.lastContactAt + SILENCE_TIMEOUT_MILLISECONDS) {
      await this._clock.sleepUntil(channel.lastContactAt + SILENCE_TIMEOUT_MILLISECONDS, finished.signal).catch(() => {})
    }
    signal.removeEventListener('abort', stop)
    finished.abort()
    channel.close()
  }
}
