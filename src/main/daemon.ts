/**
 * Base of the entry and control daemons: command line, settings, signals and exit codes.
 */
import { randomInt } from 'node:crypto'
import { hideBin } from 'yargs/helpers'
import yargs from 'yargs'
import type * as z from 'zod'
import { HttpEndpointProber } from '../endpoints/http-endpoint-prober.js'
import { createDaemonLogger } from '../observability/create-daemon-logger.js'
import { DeveloperWarnings } from '../observability/developer-warnings.js'
import { MemoryMetrics } from '../observability/memory-metrics.js'
import { startTracing } from '../observability/start-tracing.js'
import { StatsdMetrics } from '../observability/statsd-metrics.js'
import { HttpPlatformClient } from '../plain-platform/http-platform-client.js'
import { HttpPlatformLog } from '../plain-platform/http-platform-log.js'
import { HttpVirtualMachineControl } from '../plain-platform/http-virtual-machine-control.js'
import { HttpWorkerControl } from '../plain-platform/http-worker-control.js'
import type { Finding } from '../schemas/finding.js'
import type { CommonSettings } from '../settings/common-settings.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import { readSettings } from '../settings/read-settings.js'
import { RandomIdentifierSource } from '../supervision/random-identifier-source.js'
import { SeededRandomSource } from '../supervision/seeded-random-source.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { SystemClock } from '../supervision/system-clock.js'
import { ProcessTree } from './process-tree.js'

/** Exit code for a settings file that is unreadable or invalid. */
const EXIT_INVALID_SETTINGS = 2

/** Exclusive upper bound of random seeds, which have to be 32-bit integers. */
const SEED_BOUND = 2 ** 31 - 1

/** A daemon that runs a supervisor tree until it is asked to stop. */
export abstract class Daemon<Settings extends CommonSettings & { stop?: EntrySettings['stop'] }> {
  /** Name of the program in the usage text. */
  protected abstract readonly program: string

  /** Schema of the settings file. */
  protected abstract readonly schema: z.ZodType<Settings>

  /** Builds the supervisor tree of the daemon. */
  protected abstract buildTree (tree: ProcessTree, settings: Settings): Supervisor

  /**
   * Parses the command line, reads the settings and runs the daemon until it stops.
   *
   * @returns the exit code: 0 after a graceful shutdown, 1 after a failure, 2 for invalid settings.
   */
  async main (): Promise<number> {
    const options = await yargs(hideBin(process.argv))
      .scriptName(this.program)
      .usage('$0 --settings FILE [--check]')
      .option('settings', { type: 'string', demandOption: true, describe: 'TOML settings file' })
      .option('check', { type: 'boolean', default: false, describe: 'check the settings, report every finding and exit' })
      .example(`$0 --settings ${this.program}.toml --check`, 'checks a settings file; exit code 2 if anything is wrong')
      .strict()
      .parseAsync()
    const settings = readSettings(this.schema, options.settings)
    if (settings.isLeft()) return this._reportFindings(settings.extract() as Finding[])
    if (options.check) {
      process.stdout.write(`${options.settings}: the settings are valid\n`)
      return 0
    }
    return this._run(settings.extract() as Settings)
  }

  private _reportFindings (findings: readonly Finding[]): number {
    for (const { path, message } of findings) process.stderr.write(`${path}: ${message}\n`)
    return EXIT_INVALID_SETTINGS
  }

  private async _run (settings: Settings): Promise<number> {
    const { id } = settings.process
    const logger = createDaemonLogger(id, settings.logs.level)
    const stopTracing = settings.traces ? startTracing(settings.traces.endpoint, id) : async () => {}
    const platformClient = new HttpPlatformClient(settings.platform.address)
    const stopController = new AbortController()
    const requestStop = (reason: string): void => {
      if (!stopController.signal.aborted) logger.info('process stopping', { reason })
      stopController.abort()
    }
    process.on('SIGTERM', () => requestStop('SIGTERM'))
    process.on('SIGINT', () => requestStop('SIGINT'))
    const tree = new ProcessTree({
      clock: new SystemClock(),
      random: new SeededRandomSource(randomInt(SEED_BOUND)),
      identifiers: new RandomIdentifierSource(),
      logger,
      metrics: settings.metrics ? new StatsdMetrics(settings.metrics.address, id) : new MemoryMetrics(),
      platformLog: new HttpPlatformLog(platformClient),
      virtualMachineControl: new HttpVirtualMachineControl(platformClient),
      workerControl: new HttpWorkerControl(platformClient),
      prober: new HttpEndpointProber(),
      requestStop
    })
    const warnings = new DeveloperWarnings(logger, process.env['NODE_ENV'])
    warnings.warnIf(settings.peers.secret.startsWith('replace-with'), 'SG001')
    warnings.warnIf(settings.stop?.readinessGraceMilliseconds === 0, 'SG002')
    warnings.warnIf(settings.metrics === undefined, 'SG003')
    logger.info('process started', { availabilityZone: settings.process.availabilityZone })
    try {
      await this.buildTree(tree, settings).run(stopController.signal)
      logger.info('process stopped')
      return 0
    } catch (error) {
      logger.error('process failed', { error: (error as Error).stack })
      return 1
    } finally {
      await platformClient.close()
      await stopTracing()
    }
  }
}
