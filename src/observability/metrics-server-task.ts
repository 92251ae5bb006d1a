/**
 * HTTP server for Prometheus metrics.
 */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import polka from 'polka'
import type { ClientGuard } from '../http/client-guard.js'
import { aborted } from '../supervision/aborted.js'
import { Task } from '../supervision/task.js'
import type { PrometheusMetrics } from './prometheus-metrics.js'

/** Serves `GET /metrics` until it is stopped. */
export class MetricsServerTask extends Task {
  override readonly name = 'metrics-server'

  /** @param _address IP address and port to listen on. */
  constructor (private readonly _address: string, private readonly _metrics: PrometheusMetrics, private readonly _guard: ClientGuard) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const application = polka().get('/metrics', async (_, response) => {
      response.setHeader('content-type', 'text/plain; version=0.0.4')
      response.end(await this._metrics.text())
    })
    // Called without a third argument, the handler runs its middleware chain; its type declaration wrongly requires one.
    const server = this._guard.createProbeServer(application.handler as unknown as (request: IncomingMessage, response: ServerResponse) => void)
    const [host, port] = this._address.split(':')
    server.listen({ host, port: Number(port) })
    await once(server, 'listening')
    await aborted(signal)
    server.close()
    server.closeAllConnections()
  }
}
