/**
 * Health probes over HTTP.
 */
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import { Client } from 'undici'
import { EndpointHealth } from '../schemas/endpoint-health.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import { EndpointProber } from './endpoint-prober.js'

/** Time limit for a probe, in milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000

/** Sends `GET /healthz` over a new connection, because an existing one may be dead. */
export class HttpEndpointProber extends EndpointProber {
  override async probe (address: SocketAddress): Promise<Maybe<EndpointHealth>> {
    const host = address.host.includes(':') ? `[${address.host}]` : address.host
    const client = new Client(`http://${host}:${address.port}`, { connect: { timeout: PROBE_TIMEOUT_MILLISECONDS } })
    try {
      const { body } = await client.request({ method: 'GET', path: '/healthz', signal: AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS) })
      const parsed = EndpointHealth.safeParse(await body.json())
      return parsed.success ? Just(parsed.data) : Nothing
    } catch {
      return Nothing
    } finally {
      await client.destroy()
    }
  }
}
