/**
 * The system's processes and the emulated platform that they run on.
 */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { RandomSource } from '../src/supervision/random-source.js'
import { SystemClock } from '../src/supervision/system-clock.js'
import { EmulatorServer } from '../stand-ins/emulator/emulator-server.js'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { PlatformEmulator } from '../stand-ins/emulator/platform-emulator.js'
import { FaultIntervals } from './fault-intervals.js'
import { FaultProxy } from './fault-proxy.js'
import type { JobEntry } from './job-entry.js'
import { JobLedger } from './job-ledger.js'
import { NodeProcess } from './node-process.js'
import { MixedShape } from './shapes/mixed-shape.js'
import type { SoakShape } from './soak-shape.js'

/** Availability zones of processes and workers. */
const ZONES = ['a', 'b', 'c'] as const

/** First two bytes of the loopback addresses of processes and workers; differs between concurrent soak runs. */
const LOOPBACK_NETWORK = `127.${8 + process.pid % 240}`

/** Third byte of the processes' addresses; the workers' third byte counts up from 0. */
const PROCESS_SUBNET = 250

/** Ports that each process listens on, at its own address. */
const PORTS = { callers: 8340, readiness: 8343, metrics: 7001 }

/** Time within which an owner calls most workers, in milliseconds. */
const OWNER_CALL_MILLISECONDS = 1_500

/** Bounds of the duration of a run. */
const RUN_DURATION_MILLISECONDS = { minimum: 200, maximum: 1_500 }

/** Time after its start at which a deadly run crashes its worker. */
const CRASH_DELAY_MILLISECONDS = 10

/** Clock rate of every third worker; a worker's clock may be this slow. */
const SLOW_CLOCK_RATE = 0.98

const HEXADECIMAL_RADIX = 16

/** Grace period of a graceful shutdown, as in the platform's settings. */
const GRACE_MILLISECONDS = 6_000

/** Starts, configures and closes the processes; they reach the store and the workers through proxies that inject connection faults. */
export class SoakFleet {
  readonly clock = new SystemClock()
  readonly faultIntervals = new FaultIntervals()
  readonly nodes: NodeProcess[] = []
  /** Proxy between each process and the store. */
  readonly storeProxies = new Map<NodeProcess, FaultProxy>()
  /** Proxy between all processes and each worker, by the worker's address. */
  readonly workerProxies = new Map<string, FaultProxy>()
  readonly emulator: PlatformEmulator
  readonly ledger: JobLedger
  /** What faults have done so far, each with the epoch milliseconds. */
  readonly events: { readonly at: number, readonly event: string }[] = []
  /** Folder for settings and logs. */
  readonly folder = mkdtempSync(join(tmpdir(), 'samphireglade-soak-'))
  private readonly _server: EmulatorServer
  /** Proxies of workers that are starting to listen. */
  private readonly _pendingProxies: Promise<void>[] = []
  private _isClosed = false
  private _configurationVersion = 0
  private _keys: readonly string[] = ['key-0']

  constructor (private readonly _random: RandomSource, private readonly _shape: SoakShape = new MixedShape()) {
    this.emulator = new PlatformEmulator(this.clock, task => this._runOutcome(task), LOOPBACK_NETWORK, worker => this._prepareWorker(worker))
    this.emulator.maximumLeaseMilliseconds = _shape.maximumLeaseMilliseconds
    this._server = new EmulatorServer(this.emulator)
    this.ledger = new JobLedger(this.faultIntervals, entry => this.areTasksDone(entry))
  }

  /** Key that callers currently use. */
  get key (): string {
    return this._keys[0] ?? ''
  }

  /** Running process that has just called most workers, as the connections to them show; null if none has. */
  get owner (): NodeProcess | null {
    const since = this.clock.now() - OWNER_CALL_MILLISECONDS
    const callers = [...this.workerProxies.values()].flatMap(({ lastCaller: { address, at } }) => at > since ? [address] : [])
    const calls = this.nodes.filter(({ isRunning }) => isRunning).map(node => ({ node, count: callers.filter(caller => caller === node.configuration.host).length }))
    const most = calls.reduce((best, candidate) => candidate.count > best.count ? candidate : best, { node: null as NodeProcess | null, count: 0 })
    return most.node
  }

  /** Current incarnations of the workers that are running. */
  get workers (): EmulatedWorker[] {
    const present = new Set([...this.emulator.virtualMachines.byId.values()].map(({ worker }) => worker))
    return this.emulator.workerIncarnations.filter(({ id, isTerminated }) => present.has(id) && !isTerminated)
  }

  /** Records what a fault does. */
  record (event: string): void {
    this.events.push({ at: this.clock.now(), event })
  }

  /**
   * Adds the workers, publishes a configuration, and starts the processes.
   *
   * @param processOptions options of Node and further settings of each process.
   */
  async start (processCount: number, workerCount: number, processOptions: Pick<NodeProcess['configuration'], 'nodeOptions' | 'furtherSettings'> = {}): Promise<void> {
    const { jobs: { pools }, maximumLeaseMilliseconds } = this._shape
    for (let index = 0; index < workerCount; index++) this.emulator.addVirtualMachine(pools[Math.floor(index / ZONES.length) % pools.length] ?? '', ZONES[index % ZONES.length] ?? '', `r${Math.floor(index / 4)}`)
    this.configure(this._keys)
    const virtualMachinesPort = await this._servePort(this.emulator.addresses.machines)
    for (let index = 0; index < processCount; index++) {
      const storeProxy = new FaultProxy(await this._servePort(this.emulator.addresses.store))
      const storePort = await storeProxy.listen('127.0.0.1', 0)
      const node = new NodeProcess({ name: `node-${index}`, zone: ZONES[index % ZONES.length] ?? '', host: `${LOOPBACK_NETWORK}.${PROCESS_SUBNET}.${index + 1}`, ports: PORTS, storePort, virtualMachinesPort, maximumLeaseMilliseconds, folder: this.folder, ...processOptions })
      this.nodes.push(node)
      this.storeProxies.set(node, storeProxy)
      node.start()
    }
  }

  /** Publishes a configuration with the team's keys; extra queues make it larger. */
  configure (keys: readonly string[], extraQueues = 0): void {
    this._keys = keys
    this._configurationVersion += 1
    const { pools } = this._shape.jobs
    const route = (name: string, prefix: string, service: string): object => ({ name, host: 'soak.example', path_prefix: prefix, service, target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 })
    this.emulator.publish('config', {
      version: this._configurationVersion,
      routes: [...pools.map((pool, index) => route(index === 0 ? 'queue' : `queue-${index}`, this._pathPrefix(index), pool)), ...Array.from({ length: extraQueues }, (_, index) => route(`more-${index}`, `/more-${index}/`, 'work'))],
      services: [...pools.map(name => ({ name })), { name: 'standby', standby: true }],
      tenants: [{ name: 'team', api_keys: [...keys], weight: 10, max_count: { cpu: 0, mem_mb: 0, gpus: 0 } }],
      limits: { max_body_bytes: 262_144 }
    })
  }

  /** Returns the path of a job; the first digit of its ID is its caller's. */
  jobPath (id: string): string {
    return `${this._pathPrefix(parseInt(id[0] ?? '', HEXADECIMAL_RADIX) % this._shape.jobs.pools.length)}${id}`
  }

  /** Shuts a process down gracefully and starts it again. */
  async restart (node: NodeProcess): Promise<void> {
    await node.stop(GRACE_MILLISECONDS)
    node.start()
  }

  /** Whether each task of a job has been done on some worker. */
  areTasksDone ({ tasks }: JobEntry): boolean {
    for (const worker of this.emulator.workerIncarnations) worker.completeDueRuns()
    return tasks.every(task => this.emulator.workerIncarnations.some(({ completions }) => completions.some(completion => completion.task === task && completion.result === 'done')))
  }

  /** Writes what faults did and the runs that workers recorded into the folder, one JSON line each. */
  writeRecords (): void {
    const runs = this.emulator.workerIncarnations.flatMap(({ id, zone, startedAt: workerStartedAt, leaseExpiries, starts, completions }) => starts.map(start => {
      const completion = completions.find(({ task, run }) => task === start.task && run === start.run)
      const nextLeaseExpiry = leaseExpiries.find(at => at >= (completion?.completedAt ?? Infinity))
      return { worker: id, zone, workerStartedAt, ...start, ...completion, nextLeaseExpiry }
    }))
    for (const [name, rows] of [['events', this.events], ['runs', runs]] as const) writeFileSync(join(this.folder, `${name}.jsonl`), rows.map(row => `${JSON.stringify(row)}\n`).join(''))
  }

  /** Kills all processes, each by its process ID, and closes all servers. */
  async close (): Promise<void> {
    // A VM that returns after this must not open a proxy at an address that the next run needs.
    this._isClosed = true
    await Promise.all([...this.nodes.map(node => node.kill()), ...this._pendingProxies])
    for (const proxy of [...this.storeProxies.values(), ...this.workerProxies.values()]) proxy.close()
    this._server.close()
  }

  private _pathPrefix (pool: number): string {
    return pool === 0 ? '/q/' : `/q${pool}/`
  }

  private _runOutcome (task: string): ReturnType<ConstructorParameters<typeof PlatformEmulator>[1]> {
    const job = this.ledger.jobs.get(task.split('.')[0] ?? '')
    if (job?.isDeadly && job.tasks[0] === task) return { milliseconds: CRASH_DELAY_MILLISECONDS, result: 'crash' }
    const isLasting = job?.isLasting ?? false
    return { milliseconds: isLasting ? Infinity : RUN_DURATION_MILLISECONDS.minimum + this._random.integer(RUN_DURATION_MILLISECONDS.maximum - RUN_DURATION_MILLISECONDS.minimum), result: 'done' }
  }

  /** Sets the clock rate of a new worker and opens a proxy at its address. */
  private _prepareWorker (worker: EmulatedWorker): void {
    const incarnationCount = this.emulator.workerIncarnations.length
    if (incarnationCount % ZONES.length === 0) worker.clockRate = SLOW_CLOCK_RATE
    if (this._isClosed || this.workerProxies.has(worker.address)) return
    this._pendingProxies.push(this._openProxy(worker.address).catch((error: Error) => { this.ledger.findings.push(`soak: failed to open a proxy for ${worker.address}: ${error.message}`) }))
  }

  private async _openProxy (address: string): Promise<void> {
    const [host = '', port] = address.split(':')
    const proxy = new FaultProxy(await this._servePort(address))
    this.workerProxies.set(address, proxy)
    await proxy.listen(host, Number(port))
  }

  private async _servePort (address: string): Promise<number> {
    return Number((await this._server.serve(address)).split(':')[1])
  }
}
