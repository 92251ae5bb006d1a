/**
 * One connection that a peer has opened.
 */
import type { TLSSocket } from 'node:tls'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import { PeerChannel } from './peer-channel.js'
import type { PeerMethods } from './peer-methods.js'

/** Silence after which the connection is closed, in milliseconds; a living peer sends heartbeats all the time. */
const SILENCE_MILLISECONDS = 5_000

/** Answers the peer's calls until the connection ends or falls silent. */
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
    this._methods.offerOn(channel)
    const over = new AbortController()
    const stop = (): void => over.abort()
    signal.addEventListener('abort', stop, { once: true })
    void channel.ended().then(stop)
    while (!over.signal.aborted && this._clock.now() < channel.heardAt + SILENCE_MILLISECONDS) {
      await this._clock.sleepUntil(channel.heardAt + SILENCE_MILLISECONDS, over.signal).catch(() => {})
    }
    signal.removeEventListener('abort', stop)
    over.abort()
    channel.close()
  }
}
