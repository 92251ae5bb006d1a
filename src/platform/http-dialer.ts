/**
 * Creates clients that call over HTTP.
 */
import type { Clock } from '../supervision/clock.js'
import type { CallClient } from './call-client.js'
import { Dialer } from './dialer.js'
import { HttpClient } from './http-client.js'

/** Each client has its own pool of keep-alive connections. */
export class HttpDialer extends Dialer {
  constructor (private readonly _clock: Clock) {
    super()
  }

  override dial (address: string, maximumConnections: number): CallClient {
    return new HttpClient(address, maximumConnections, this._clock)
  }
}
