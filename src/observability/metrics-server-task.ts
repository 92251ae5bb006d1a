/**
 * HTTP server for Prometheus metrics.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import polka from 'polka'
import { aborted } from '../supervision/aborted.js'
import { Task } from '../supervision/task.js'
import type { PrometheusMetrics } from './prometheus-metrics.js'

/** Serves `GET /metrics` until it is stopped. */
export class MetricsServerTask extends Task {
  override readonly name = 'metrics-server'

  /** @param _address IP address and port to listen on. */
  constructor (private readonly _address: string, private readonly _metrics: PrometheusMetrics) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const server = createServer()
    const application = polka({ server }).get('/metrics', async (_, response) => {
      response.setHeader('content-type', 'text/plain; version=0.0.4')
      response.end(await this._metrics.text())
    })
    const [host, port] = this._address.split(':')
    application.listen({ host, port: Number(port) })
    await once(server, 'listening')
    await aborted(signal)
    server.close()
    server.closeAllConnections()
  }
}
