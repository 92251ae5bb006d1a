/**
 * Metrics in the Prometheus text format by the `prom-client` package.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { MetricName } from './metric-name.js'
import { Metrics } from './metrics.js'

/** Bounds of latency histograms, in milliseconds: from one local call to a caller's longest deadline. */
const BUCKETS_MILLISECONDS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000]

/** Keeps counters, gauges and histograms for whoever fetches them. */
export class PrometheusMetrics extends Metrics {
  private readonly _registry = new Registry()
  private readonly _counters = new Map<MetricName, Counter>()
  private readonly _gauges = new Map<MetricName, Gauge>()
  private readonly _histograms = new Map<MetricName, Histogram>()

  /** Everything in the text format. */
  text (): Promise<string> {
    return this._registry.metrics()
  }

  override count (name: MetricName, amount = 1, tag = ''): void {
    const counter = this._counters.get(name) ?? new Counter({ name: this._name(name), help: name, labelNames: ['detail'], registers: [this._registry] })
    this._counters.set(name, counter)
    counter.inc({ detail: tag }, amount)
  }

  override setGauge (name: MetricName, value: number, tag = ''): void {
    const gauge = this._gauges.get(name) ?? new Gauge({ name: this._name(name), help: name, labelNames: ['detail'], registers: [this._registry] })
    this._gauges.set(name, gauge)
    gauge.set({ detail: tag }, value)
  }

  override timing (name: MetricName, milliseconds: number, tag = ''): void {
    const histogram = this._histograms.get(name) ?? new Histogram({ name: this._name(name), help: name, labelNames: ['detail'], buckets: BUCKETS_MILLISECONDS, registers: [this._registry] })
    this._histograms.set(name, histogram)
    histogram.observe({ detail: tag }, milliseconds)
  }

  private _name (name: MetricName): string {
    return `samphireglade_${name.replaceAll('.', '_')}`
  }
}
