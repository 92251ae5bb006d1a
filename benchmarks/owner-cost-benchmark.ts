/**
 * Benchmark of the processor time that the owner of the journal spends on a fleet of workers.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { Pool } from 'undici'
import { SystemClock } from '../src/supervision/system-clock.js'
import { EmulatorServer } from '../stand-ins/emulator/emulator-server.js'
import { jobBody } from '../stand-ins/emulator/job-body.js'
import { PlatformEmulator } from '../stand-ins/emulator/platform-emulator.js'
import { Benchmark } from './benchmark.js'
import { CpuProfile } from './cpu-profile.js'
import type { ResultRow } from './result-row.js'

/** The bundled program, as it is deployed. */
const PROGRAM = 'target/samphireglade-node.mjs'

/** Workers of the fleet, about as many as on the grown deployments. */
const WORKER_COUNT = 250

/** Jobs submitted per second, and the tasks of each. */
const JOBS_PER_SECOND = 60
const TASKS_PER_JOB = 12

/** Duration of each run on a worker, in milliseconds. */
const RUN_MILLISECONDS = 640

/** Time for the process to start and to take over the fleet, in milliseconds. */
const STARTUP_MILLISECONDS = 4_000

/** Length of the idle and of the loaded measurement, in milliseconds. */
const MEASUREMENT_MILLISECONDS = 10_000

/** Clock ticks per second, the unit of the processor times in `/proc`. */
const TICKS_PER_SECOND = 100

/** Functions listed from the profile. */
const LISTED_FUNCTIONS = 25

/** First two bytes of the loopback addresses of the workers and of the process. */
const LOOPBACK_NETWORK = '127.7'

/** Runs one process with emulated workers, first without jobs and then under a steady load of small jobs. */
export class OwnerCostBenchmark extends Benchmark {
  override readonly name = 'owner-cost'
  override readonly summary = `processor time of the owner with ${WORKER_COUNT} workers, without jobs and with ${JOBS_PER_SECOND * TASKS_PER_JOB} runs started per second; needs \`npm run bundle\``

  override async run (): Promise<ResultRow[]> {
    const folder = mkdtempSync(join(tmpdir(), 'samphireglade-owner-cost-'))
    const emulator = new PlatformEmulator(new SystemClock(), () => ({ milliseconds: RUN_MILLISECONDS, result: 'done' }), LOOPBACK_NETWORK)
    const server = new EmulatorServer(emulator)
    for (let index = 0; index < WORKER_COUNT; index++) {
      const worker = emulator.addVirtualMachine('work', 'a', `r${Math.floor(index / 12)}`)
      if (worker) await server.serveAt(worker.address, worker.address)
    }
    this._configure(emulator)
    const settingsPath = join(folder, 'node.toml')
    writeFileSync(settingsPath, this._settings(await server.serve(emulator.addresses.store)))
    const child = spawn(process.execPath, ['--cpu-prof', '--cpu-prof-dir', folder, PROGRAM, '--settings', settingsPath], { stdio: 'ignore', env: {} })
    try {
      await delay(STARTUP_MILLISECONDS)
      const pid = child.pid ?? 0
      const idleCores = await this._measureCores(pid, async () => { await delay(MEASUREMENT_MILLISECONDS) })
      const callsBefore = emulator.workerCalls
      const startsBefore = this._countStarts(emulator)
      const loadedCores = await this._measureCores(pid, () => this._submitJobs())
      const starts = this._countStarts(emulator) - startsBefore
      const calls = emulator.workerCalls - callsBefore
      child.kill('SIGTERM')
      await once(child, 'exit')
      const profileName = readdirSync(folder).find(name => name.endsWith('.cpuprofile')) ?? ''
      const profile = new CpuProfile(readFileSync(join(folder, profileName), 'utf8'))
      const seconds = MEASUREMENT_MILLISECONDS / 1_000
      return [
        { figure: 'without jobs: processor (cores)', value: idleCores, naive: null, target: '' },
        { figure: 'under load: processor (cores)', value: loadedCores, naive: null, target: '' },
        { figure: 'under load: runs started per second', value: starts / seconds, naive: null, target: '' },
        { figure: 'under load: calls to workers per run', value: calls / Math.max(1, starts), naive: null, target: '' },
        { figure: 'processor time per run (microseconds)', value: 1e6 * (loadedCores - idleCores) * seconds / Math.max(1, starts), naive: null, target: '' },
        ...profile.selfTimes(LISTED_FUNCTIONS).map(({ name, milliseconds }): ResultRow => ({ figure: `profile, self time (ms): ${name}`, value: milliseconds, naive: null, target: '' }))
      ]
    } finally {
      child.kill('SIGKILL')
      server.close()
    }
  }

  /** Cores that a process uses while `load` runs. */
  private async _measureCores (pid: number, load: () => Promise<void>): Promise<number> {
    const startedAt = performance.now()
    const ticksBefore = this._processorTicks(pid)
    await load()
    return (this._processorTicks(pid) - ticksBefore) / TICKS_PER_SECOND / ((performance.now() - startedAt) / 1_000)
  }

  private async _submitJobs (): Promise<void> {
    const pool = new Pool(`http://${LOOPBACK_NETWORK}.250.1:8340`, { connections: 8 })
    const startedAt = performance.now()
    for (let count = 0; count < JOBS_PER_SECOND * MEASUREMENT_MILLISECONDS / 1_000; count++) {
      await delay(Math.max(0, startedAt + count * 1_000 / JOBS_PER_SECOND - performance.now()))
      const body = JSON.stringify(jobBody([{ count: TASKS_PER_JOB, millicores: 5_700, estimateMilliseconds: RUN_MILLISECONDS }]))
      pool.request({ method: 'POST', path: `/q/${count.toString(16).padStart(16, '0')}`, headers: { host: 'benchmark.example', authorization: 'Bearer key' }, body })
        .then(response => response.body.dump()).catch((error: Error) => console.error(error.message))
    }
    await delay(Math.max(0, startedAt + MEASUREMENT_MILLISECONDS - performance.now()))
    await pool.close()
  }

  private _countStarts (emulator: PlatformEmulator): number {
    return emulator.workerIncarnations.reduce((sum, { starts }) => sum + starts.length, 0)
  }

  private _configure (emulator: PlatformEmulator): void {
    emulator.publish('config', {
      version: 1,
      routes: [{ name: 'queue', host: 'benchmark.example', path_prefix: '/q/', service: 'work', target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 }],
      services: [{ name: 'work' }],
      tenants: [{ name: 'team', api_keys: ['key'], weight: 10, max_count: {} }],
      limits: { max_body_bytes: 262_144 }
    })
  }

  private _settings (storeAddress: string): string {
    return [
      '[process]', 'id = "node"', 'availabilityZone = "a"',
      '[listen]', `callers = "${LOOPBACK_NETWORK}.250.1:8340"`, `readiness = "${LOOPBACK_NETWORK}.250.1:8343"`, `metrics = "${LOOPBACK_NETWORK}.250.1:7001"`,
      '[platform]', `store = "${storeAddress}"`, 'machines = ""', 'advice = ""',
      '[bounds]', 'maximumLeaseMilliseconds = 6000', 'statusRetentionMilliseconds = 120000', 'holderChangeMilliseconds = 3000', 'moveMilliseconds = 1500', 'maintenanceMilliseconds = 2000', ''
    ].join('\n')
  }

  /** User and system time of a process so far, in clock ticks. */
  private _processorTicks (pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
    return Number(fields[11]) + Number(fields[12])
  }
}
