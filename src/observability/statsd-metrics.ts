/**
 * Metrics over StatsD by the `hot-shots` package.
 */
import { StatsD } from 'hot-shots'
import type { SocketAddress } from '../schemas/socket-address.js'
import type { MetricName } from './metric-name.js'
import { Metrics } from './metrics.js'

/** Sends datagrams; losing some is harmless, so errors are dropped. */
export class StatsdMetrics extends Metrics {
  private readonly _client: StatsD

  /**
   * @param address of the StatsD server.
   * @param process name of the daemon, sent as a tag with all metrics.
   */
  constructor (address: SocketAddress, process: string) {
    super()
    this._client = new StatsD({
      host: address.host,
      port: address.port,
      prefix: 'samphireglade.',
      globalTags: { process },
      maxBufferSize: 1_400,
      errorHandler: () => {}
    })
  }

  override count (name: MetricName, amount = 1, tag?: string): void {
    this._client.increment(name, amount, this._tags(tag))
  }

  override setGauge (name: MetricName, value: number, tag?: string): void {
    this._client.gauge(name, value, this._tags(tag))
  }

  override timing (name: MetricName, milliseconds: number, tag?: string): void {
    this._client.timing(name, milliseconds, this._tags(tag))
  }

  private _tags (tag: string | undefined): string[] {
    return tag === undefined || tag === '' ? [] : [`detail:${tag}`]
  }
}
