/**
 * Daemon for the users' platform: command line, settings and signals.
 */
import { randomInt } from 'node:crypto'
import { parseArgs } from 'node:util'
import { EventLoopLoad } from '../observability/event-loop-load.js'
import { LoadMonitorTask } from '../observability/load-monitor-task.js'
import { PrometheusMetrics } from '../observability/prometheus-metrics.js'
import { StandardOutputLog } from '../observability/standard-output-log.js'
import { HttpDialer } from '../platform/http-dialer.js'
import type { Finding } from '../schemas/finding.js'
import { NodeSettings } from '../settings/node-settings.js'
import { readSettings } from '../settings/read-settings.js'
import { SeededRandomSource } from '../supervision/seeded-random-source.js'
import { MonotonicClock } from '../supervision/monotonic-clock.js'
import { NodeTree } from './node-tree.js'

/** Exit code for a settings file that is unreadable or invalid. */
const EXIT_INVALID_SETTINGS = 2

/** Exclusive upper bound of random seeds, which have to be 32-bit integers. */
const SEED_BOUND = 2 ** 31 - 1

/** Runs `samphireglade-node`, which combines entry and control of a VM in one process. */
export class NodeDaemon {
  /**
   * Parses the command line, reads the settings and runs the daemon until it stops.
   *
   * @returns the exit code: 0 after a graceful shutdown, 1 after a failure, 2 for invalid settings.
   */
  async main (): Promise<number> {
    const { values } = parseArgs({ options: { settings: { type: 'string' }, check: { type: 'boolean', default: false } } })
    const path = values.settings ?? ''
    const settings = readSettings(NodeSettings, path)
    if (settings.isLeft()) return this._reportFindings(settings.extract() as Finding[])
    if (values.check) {
      process.stdout.write(`${path}: the settings are valid\n`)
      return 0
    }
    return this._run(path, settings.unsafeCoerce())
  }

  private _reportFindings (findings: readonly Finding[]): number {
    for (const { path, message } of findings) process.stderr.write(`${path}: ${message}\n`)
    return EXIT_INVALID_SETTINGS
  }

  private async _run (path: string, settings: NodeSettings): Promise<number> {
    const clock = new MonotonicClock()
    const metrics = new PrometheusMetrics()
    const decisionLog = new StandardOutputLog(settings.process.id, clock, metrics)
    const tracing = settings.traces
    const stopTracing = tracing ? (await import('../observability/start-tracing.js')).startTracing(tracing.endpoint, settings.process.id) : async () => {}
    const stopController = new AbortController()
    const load = new EventLoopLoad()
    const tree = new NodeTree(settings, new HttpDialer(clock), clock, new SeededRandomSource(randomInt(SEED_BOUND)), metrics, decisionLog, load)
    for (const reason of ['SIGTERM', 'SIGINT'] as const) {
      process.on(reason, () => {
        if (!stopController.signal.aborted) decisionLog.emit('process stopping', { reason })
        tree.beginStop()
        stopController.abort()
      })
    }
    process.on('SIGHUP', () => {
      const newSettings = readSettings(NodeSettings, path)
      if (newSettings.isRight()) tree.reload(newSettings.unsafeCoerce())
      decisionLog.emit('settings reread', {
        isValid: newSettings.isRight(),
        findings: newSettings.isLeft() ? (newSettings.extract() as Finding[]).map(finding => `${finding.path}: ${finding.message}`) : []
      })
    })
    decisionLog.emit('process started', { availabilityZone: settings.process.availabilityZone, startedInMilliseconds: Math.round(performance.now()) })
    try {
      await tree.buildRoot(metrics, new LoadMonitorTask(load, clock, metrics, decisionLog)).run(stopController.signal)
      return 0
    } catch (error) {
      decisionLog.emit('process failed', { error: (error as Error).stack ?? String(error) })
      return 1
    } finally {
      decisionLog.flush()
      await stopTracing()
    }
  }
}
