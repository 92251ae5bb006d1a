/**
 * The daemon on the users' platform: command line, settings, signals.
 */
import { randomInt } from 'node:crypto'
import { parseArgs } from 'node:util'
import { PrometheusMetrics } from '../observability/prometheus-metrics.js'
import { StandardOutputLog } from '../observability/standard-output-log.js'
import { HttpDialer } from '../platform/http-dialer.js'
import type { Finding } from '../schemas/finding.js'
import { NodeSettings } from '../settings/node-settings.js'
import { readSettings } from '../settings/read-settings.js'
import { SeededRandomSource } from '../supervision/seeded-random-source.js'
import { MonotonicClock } from '../supervision/monotonic-clock.js'
import { NodeTree } from './node-tree.js'

/** Exit code for settings that don't hold. */
const EXIT_SETTINGS = 2

/** Largest seed. */
const MAXIMUM_SEED = 2 ** 31 - 1

/** `samphireglade-node`: entry and control of one VM in one process. */
export class NodeDaemon {
  /**
   * Runs from the command line to the end of the process.
   *
   * @returns the exit code: 0 after a planned stop, 1 after a failure, 2 for bad settings.
   */
  async main (): Promise<number> {
    const { values } = parseArgs({ options: { settings: { type: 'string' }, check: { type: 'boolean', default: false } } })
    const path = values.settings ?? ''
    const settings = readSettings(NodeSettings, path)
    if (settings.isLeft()) return this._report(settings.extract() as Finding[])
    if (values.check) {
      process.stdout.write(`${path}: the settings hold\n`)
      return 0
    }
    return this._run(path, settings.unsafeCoerce())
  }

  private _report (findings: readonly Finding[]): number {
    for (const { path, message } of findings) process.stderr.write(`${path}: ${message}\n`)
    return EXIT_SETTINGS
  }

  private async _run (path: string, settings: NodeSettings): Promise<number> {
    const clock = new MonotonicClock()
    const metrics = new PrometheusMetrics()
    const log = new StandardOutputLog(settings.process.id, clock, metrics)
    const tracing = settings.traces
    const stopTracing = tracing ? (await import('../observability/start-tracing.js')).startTracing(tracing.endpoint, settings.process.id) : async () => {}
    const stop = new AbortController()
    const tree = new NodeTree(settings, new HttpDialer(clock), clock, new SeededRandomSource(randomInt(MAXIMUM_SEED)), metrics, log)
    for (const reason of ['SIGTERM', 'SIGINT'] as const) {
      process.on(reason, () => {
        if (!stop.signal.aborted) log.emit('process stops', { reason })
        tree.beginStop()
        stop.abort()
      })
    }
    process.on('SIGHUP', () => {
      const reread = readSettings(NodeSettings, path)
      if (reread.isRight()) tree.reload(reread.unsafeCoerce())
      log.emit('settings read again', { isValid: reread.isRight(), findings: reread.isLeft() ? (reread.extract() as Finding[]).map(finding => `${finding.path}: ${finding.message}`) : [] })
    })
    log.emit('process starts', { availabilityZone: settings.process.availabilityZone, startedInMilliseconds: Math.round(performance.now()) })
    try {
      await tree.buildRoot(metrics).run(stop.signal)
      return 0
    } catch (error) {
      log.emit('process fails', { error: (error as Error).stack ?? String(error) })
      return 1
    } finally {
      await stopTracing()
    }
  }
}
