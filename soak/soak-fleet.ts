/**
 * The system's processes and the emulated platform around them.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { RandomSource } from '../src/supervision/random-source.js'
import { SystemClock } from '../src/supervision/system-clock.js'
import { EmulatorServer } from '../stand-ins/emulator/emulator-server.js'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { PlatformEmulator } from '../stand-ins/emulator/platform-emulator.js'
import { Calm } from './calm.js'
import { FaultProxy } from './fault-proxy.js'
import type { JobEntry } from './job-entry.js'
import { JobLedger } from './job-ledger.js'
import { NodeProcess } from './node-process.js'

/** Zones of processes and workers. */
const ZONES = ['a', 'b', 'c'] as const

/** Network of loopback for this soak's processes and workers, so that several soaks run side by side. */
const NETWORK = `127.${8 + process.pid % 240}`

/** Third number of the processes' addresses; workers count up from 0. */
const PROCESS_SUBNET = 250

/** Ports of each process on its own address. */
const PORTS = { callers: 8340, readiness: 8343, metrics: 7001 }

/** Run times of tasks, in milliseconds. */
const RUN_MILLISECONDS = { least: 200, most: 1_500 }

/** Clock of every third worker, which may be slow by so much. */
const SLOW_CLOCK_RATE = 0.98

/** Grace time of a planned stop, in milliseconds, as the platform's settings have it. */
const GRACE_MILLISECONDS = 6_000

/** Everything is reached through proxies, so that connections can be harmed from outside. */
export class SoakFleet {
  readonly clock = new SystemClock()
  readonly calm = new Calm()
  readonly nodes: NodeProcess[] = []
  /** Between each process and the store. */
  readonly storeProxies = new Map<NodeProcess, FaultProxy>()
  /** Between all processes and each worker, by its address. */
  readonly workerProxies = new Map<string, FaultProxy>()
  readonly emulator: PlatformEmulator
  readonly ledger: JobLedger
  /** Folder of settings and logs. */
  readonly folder = mkdtempSync(join(tmpdir(), 'samphireglade-soak-'))
  private readonly _server: EmulatorServer
  /** Proxies that are about to listen. */
  private readonly _opening: Promise<void>[] = []
  private _isClosed = false
  private _version = 0
  private _keys: readonly string[] = ['key-0']

  constructor (private readonly _random: RandomSource) {
    this.emulator = new PlatformEmulator(this.clock, task => this._fate(task), NETWORK, worker => this._reach(worker))
    this._server = new EmulatorServer(this.emulator)
    this.ledger = new JobLedger(this.calm, entry => this.isDone(entry))
  }

  /** Key that callers use. */
  get key (): string {
    return this._keys[0] ?? ''
  }

  /** Workers that live. */
  get workers (): EmulatedWorker[] {
    const present = new Set([...this.emulator.machines.machines.values()].map(({ worker }) => worker))
    return this.emulator.lives.filter(({ id, isTerminated }) => present.has(id) && !isTerminated)
  }

  /** Starts processes and workers. */
  async start (processes: number, workers: number): Promise<void> {
    for (let count = 0; count < workers; count++) this.emulator.addMachine('work', ZONES[count % ZONES.length] ?? '', `r${Math.floor(count / 4)}`)
    this.configure(this._keys)
    const machinesPort = await this._port(this.emulator.addresses.machines)
    for (let count = 0; count < processes; count++) {
      const store = new FaultProxy(await this._port(this.emulator.addresses.store))
      const storePort = await store.listen('127.0.0.1', 0)
      const node = new NodeProcess({ name: `node-${count}`, zone: ZONES[count % ZONES.length] ?? '', host: `${NETWORK}.${PROCESS_SUBNET}.${count + 1}`, ports: PORTS, storePort, machinesPort, folder: this.folder })
      this.nodes.push(node)
      this.storeProxies.set(node, store)
      node.start()
    }
  }

  /** Publishes a configuration with the team's keys; more queues make it larger. */
  configure (keys: readonly string[], moreQueues = 0): void {
    this._keys = keys
    this._version += 1
    const route = (name: string, prefix: string): object => ({ name, host: 'soak.example', path_prefix: prefix, service: 'work', target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 })
    this.emulator.publish('config', {
      version: this._version,
      routes: [route('queue', '/q/'), ...Array.from({ length: moreQueues }, (_, index) => route(`more-${index}`, `/more-${index}/`))],
      services: [{ name: 'work' }, { name: 'standby', standby: true }],
      tenants: [{ name: 'team', api_keys: [...keys], weight: 10, max_count: { cpu: 0, mem_mb: 0, gpus: 0 } }],
      limits: { max_body_bytes: 262_144 }
    })
  }

  /** Stops a process in good order and starts it again. */
  async restart (node: NodeProcess): Promise<void> {
    await node.stop(GRACE_MILLISECONDS)
    node.start()
  }

  /** Whether each task of a job has an end as done. */
  isDone ({ tasks }: JobEntry): boolean {
    for (const worker of this.emulator.lives) worker.completeDueRuns()
    return tasks.every(task => this.emulator.lives.some(({ ends }) => ends.some(end => end.task === task && end.how === 'done')))
  }

  /** Ends all processes, by their ids, and everything that listens. */
  async close (): Promise<void> {
    // A VM that comes back later must not listen in the next run's place.
    this._isClosed = true
    await Promise.all([...this.nodes.map(node => node.kill()), ...this._opening])
    for (const proxy of [...this.storeProxies.values(), ...this.workerProxies.values()]) proxy.close()
    this._server.close()
  }

  private _fate (task: string): { milliseconds: number, how: 'done' | 'failed' } {
    const isLasting = this.ledger.jobs.get(task.split('.')[0] ?? '')?.isLasting ?? false
    return { milliseconds: isLasting ? Infinity : RUN_MILLISECONDS.least + this._random.integer(RUN_MILLISECONDS.most - RUN_MILLISECONDS.least), how: 'done' }
  }

  /** Puts a proxy before a new worker. */
  private _reach (worker: EmulatedWorker): void {
    const number = this.emulator.lives.length
    if (number % ZONES.length === 0) worker.clockRate = SLOW_CLOCK_RATE
    if (this._isClosed || this.workerProxies.has(worker.address)) return
    this._opening.push(this._open(worker.address).catch((error: Error) => { this.ledger.findings.push(`soak: no proxy for ${worker.address}: ${error.message}`) }))
  }

  private async _open (address: string): Promise<void> {
    const [host = '', port] = address.split(':')
    const proxy = new FaultProxy(await this._port(address))
    this.workerProxies.set(address, proxy)
    await proxy.listen(host, Number(port))
  }

  private async _port (address: string): Promise<number> {
    return Number((await this._server.serve(address)).split(':')[1])
  }
}
