/**
 * Emulator of the users' platform: log store, workers, VMs, advice and operators.
 */
import type { Clock } from '../../src/supervision/clock.js'
import { EmulatedRegistry } from './emulated-registry.js'
import { EmulatedStore } from './emulated-store.js'
import { EmulatedVirtualMachines } from './emulated-virtual-machines.js'
import { EmulatedWorker } from './emulated-worker.js'
import { EmulatorFaults } from './emulator-faults.js'
import { VirtualMachineService } from './virtual-machine-service.js'
import { WorkerOutages } from './worker-outages.js'

/** Addresses of the platform's services. */
const STORE_ADDRESS = '10.9.0.1:8344'
const VIRTUAL_MACHINES_ADDRESS = '10.9.0.2:8344'
const ADVICE_ADDRESS = '10.9.0.3:8344'

/** Durations of a move and of maintenance of a VM, in milliseconds. */
const MOVE_MILLISECONDS = 1_500
const MAINTENANCE_MILLISECONDS = 2_000

/** Latency of a call to a worker, in milliseconds; above zero so that time passes for a caller that repeats calls in a loop. */
const WORKER_LATENCY_MILLISECONDS = 1

/** First two bytes of the workers' addresses, unless the emulator is served on a real network. */
const WORKER_NETWORK = '10.8'

/** Maximum duration of a worker's lease unless the emulator is given another, in milliseconds. */
const DEFAULT_MAXIMUM_LEASE_MILLISECONDS = 6_000

/** A request to one of the emulated addresses. */
interface EmulatedRequest {
  readonly caller: string
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  /** Whether the caller has aborted the call; a worker drops an aborted call that it has not started to execute. */
  readonly isAborted?: () => boolean
}

/** Emulates all services and workers of the platform. Tests call it in process, and `EmulatorServer` serves it over HTTP. */
export class PlatformEmulator {
  readonly store: EmulatedStore
  readonly virtualMachines: EmulatedVirtualMachines
  readonly registry: EmulatedRegistry
  readonly outages: WorkerOutages
  readonly faults = new EmulatorFaults()
  /** Every incarnation of every worker, for checks. */
  readonly workerIncarnations: EmulatedWorker[] = []
  /** Workers that the advice service has recommended. */
  readonly advisedWorkers = new Set<string>()
  /** Maximum duration of the leases of workers that start from now on, in milliseconds. */
  maximumLeaseMilliseconds = DEFAULT_MAXIMUM_LEASE_MILLISECONDS
  /** Number of calls to workers. */
  workerCalls = 0
  /** Number of reads from the store, by `CALLER TOPIC`. */
  readonly storeReads = new Map<string, number>()
  /** Current incarnation of each worker, by address. */
  private readonly _workersByAddress = new Map<string, EmulatedWorker>()
  /** Addresses of workers that have ended. */
  private readonly _formerAddresses = new Set<string>()
  private readonly _virtualMachineService: VirtualMachineService
  private _workerCount = 0

  /**
   * @param _outcome duration and result of a run.
   * @param _workerNetwork first two bytes of the workers' addresses.
   * @param _onWorkerAdded called with each new incarnation of a worker before it registers.
   */
  constructor (
    private readonly _clock: Clock, private readonly _outcome: ConstructorParameters<typeof EmulatedWorker>[6],
    private readonly _workerNetwork = WORKER_NETWORK, private readonly _onWorkerAdded: (worker: EmulatedWorker) => void = () => {}
  ) {
    this.store = new EmulatedStore(_clock)
    this.registry = new EmulatedRegistry(_clock, this.store, virtualMachine => this.virtualMachines.byId.get(virtualMachine)?.rack ?? '', address => this._workersByAddress.get(address))
    this.virtualMachines = new EmulatedVirtualMachines(
      _clock,
      virtualMachine => { for (const worker of this._workersByAddress.values()) if (worker.virtualMachine === virtualMachine.id) this.shutDown(worker) },
      virtualMachine => virtualMachine.pool === 'standby' ? '' : this._startWorker(virtualMachine.id, virtualMachine.pool, virtualMachine.zone).id,
      MOVE_MILLISECONDS, MAINTENANCE_MILLISECONDS
    )
    this.outages = new WorkerOutages(this.registry, this.virtualMachines)
    this._virtualMachineService = new VirtualMachineService(_clock, this.virtualMachines, this.faults.virtualMachines)
  }

  /** Addresses of the services. */
  get addresses (): { store: string, machines: string, advice: string } {
    return { store: STORE_ADDRESS, machines: VIRTUAL_MACHINES_ADDRESS, advice: ADVICE_ADDRESS }
  }

  /** Adds a VM to a pool, with a worker unless the pool is the standby pool. */
  addVirtualMachine (pool: string, zone: string, rack = 'r1'): EmulatedWorker | null {
    const { worker: workerId } = this.virtualMachines.add(pool, zone, rack)
    return this.workerIncarnations.find(({ id }) => id === workerId) ?? null
  }

  /** Publishes an operator's record; null deletes the key. */
  publish (key: string, value: object | null): void {
    this.store.put('keyed.op', key, value)
  }

  /** Registers a worker as draining. */
  drain (worker: EmulatedWorker): void {
    worker.drainingSince = Math.min(worker.drainingSince, this._clock.now())
    this.registry.register(worker)
  }

  /** Terminates a worker and deletes its registry entry at once, as a graceful shutdown does. */
  shutDown (worker: EmulatedWorker): void {
    this._terminate(worker)
    this.virtualMachines.workerEnded(worker)
    this.registry.remove(worker)
  }

  /** Terminates a worker without notice; its registry entry expires later. */
  crash (worker: EmulatedWorker): void {
    this._terminate(worker)
    this.virtualMachines.workerEnded(worker)
    this.registry.expire(worker)
  }

  /** Whether a worker is still the current one of its VM. */
  isCurrent ({ id, virtualMachine }: EmulatedWorker): boolean {
    return this.virtualMachines.byId.get(virtualMachine)?.worker === id
  }

  /**
   * Ends a worker whose address gives no response from then on. Another worker, with an ID and an address of its own, starts on its VM.
   *
   * @param startsAt epoch milliseconds.
   */
  async replace (worker: EmulatedWorker, startsAt: number): Promise<void> {
    this.outages.cutPower(worker)
    await this._clock.sleepUntil(startsAt)
    if (this.isCurrent(worker)) this.virtualMachines.workerStarted(this._startWorker(worker.virtualMachine, worker.pool, worker.zone))
  }

  /** Starts a new incarnation of a worker, with the same ID and address. */
  restart (worker: EmulatedWorker, capacity = worker.capacity): EmulatedWorker {
    const restarted = new EmulatedWorker(worker.id, worker.pool, worker.address, worker.zone, worker.virtualMachine, this._clock, this._outcome, this.maximumLeaseMilliseconds, capacity)
    this._add(restarted)
    this.virtualMachines.workerStarted(restarted)
    return restarted
  }

  /** Whether connections to an address are refused: by a fault, or because it was a worker's and no worker is there now. */
  refusesConnections (address: string): boolean {
    return this.faults.refusedAddresses.has(address) || (this._formerAddresses.has(address) && !this._workersByAddress.has(address))
  }

  /** Changes the capacity of a worker, as its registry entry shows it. */
  resize (worker: EmulatedWorker, capacity: EmulatedWorker['capacity']): void {
    worker.resize(capacity)
    this.registry.register(worker)
  }

  /** Executes a request; returns null if the caller gets no response. */
  async handle (request: EmulatedRequest): Promise<{ status: number, body: Buffer } | null> {
    const { caller, address } = request
    const service = address === STORE_ADDRESS ? 'store' : address === VIRTUAL_MACHINES_ADDRESS || address === ADVICE_ADDRESS ? 'other' : 'workers'
    if (this.faults.isUnheard(caller, service)) return null
    const response = await this._execute(request)
    return this.faults.isUnanswered(caller, service) ? null : response
  }

  private async _execute (request: EmulatedRequest): Promise<{ status: number, body: Buffer } | null> {
    const { address, path, headers, body } = request
    const url = new URL(path, 'http://emulator')
    const call = url.pathname.slice(url.pathname.lastIndexOf('/') + 1)
    if (address === STORE_ADDRESS) {
      const topic = url.searchParams.get('topic') ?? ''
      if (call === 'log-read') this.storeReads.set(`${request.caller} ${topic}`, (this.storeReads.get(`${request.caller} ${topic}`) ?? 0) + 1)
      const response = await this.faults.apply(request.caller, call, topic, () => this.store.handle(call, url.searchParams, body), this._clock)
      return response ? this._encode(response) : null
    }
    if (address === VIRTUAL_MACHINES_ADDRESS) {
      const response = await this._virtualMachineService.handle(call, headers, body)
      return response ? this._encode(response) : null
    }
    if (address === ADVICE_ADDRESS) await this._clock.sleepUntil(this._clock.now() + this.faults.adviceMilliseconds)
    if (address === ADVICE_ADDRESS) return this._advise(JSON.parse(body.toString()) as { workers: string[] })
    const allowedCallers = this.faults.allowedCallers.get(address)
    if (allowedCallers && !allowedCallers.has(request.caller)) return null
    return this._callWorker(request, call)
  }

  private async _callWorker ({ address, headers, body, isAborted }: EmulatedRequest, call: string): Promise<{ status: number, body: Buffer } | null> {
    this.workerCalls += 1
    const worker = this._workersByAddress.get(address)
    if (!worker || worker.isDisconnected || (call === 'run-stop' && this.faults.lostStopAddresses.has(address))) return null
    await this._clock.sleepUntil(this._clock.now() + (this.faults.workerLatencies.get(address) ?? WORKER_LATENCY_MILLISECONDS))
    if (headers['expect-instance'] !== worker.id) return this._encode({ status: 421, body: {} })
    const order = JSON.parse(body.toString()) as Record<string, never>
    if (this.faults.isExecutedLate(call, order, worker, () => this._workersByAddress.get(address), this._clock)) return null
    if (call === 'run-start' && this.faults.startLatencyMilliseconds > 0) await this._clock.sleepUntil(this._clock.now() + this.faults.startLatencyMilliseconds)
    if (call === 'hold' && this.faults.renewalLatencyMilliseconds > 0) await this._clock.sleepUntil(this._clock.now() + this.faults.renewalLatencyMilliseconds)
    if (isAborted?.() || worker.isTerminated) return null
    const response = await worker.handle(call, order)
    return worker.isDisconnected || this._workersByAddress.get(address) !== worker ? null : this._encode(response)
  }

  /** Returns advice that recommends every second worker of the request. */
  private _advise ({ workers }: { workers: string[] }): { status: number, body: Buffer } {
    const advised = workers.filter((_, index) => index % 2 === 0)
    for (const id of advised) this.advisedWorkers.add(id)
    return this._encode({ status: 200, body: { good: advised.map(id => [id, `ticket-${id}`]), valid_ms: 3_000 } })
  }

  private _startWorker (virtualMachine: string, pool: string, zone: string, address?: string): EmulatedWorker {
    this._workerCount += 1
    const newAddress = `${this._workerNetwork}.${this._workerCount >> 8}.${this._workerCount & 255}:8080`
    const worker = new EmulatedWorker(`i-${this._workerCount}`, pool, address ?? newAddress, zone, virtualMachine, this._clock, this._outcome, this.maximumLeaseMilliseconds)
    this._add(worker)
    return worker
  }

  private _terminate (worker: EmulatedWorker): void {
    worker.terminate()
    this._workersByAddress.delete(worker.address)
    this._formerAddresses.add(worker.address)
  }

  /** Crashes a worker and brings it back after the downtime. */
  private async _crashAndRestart (worker: EmulatedWorker): Promise<void> {
    this.crash(worker)
    await this._clock.sleepUntil(this._clock.now() + this.faults.crashDowntimeMilliseconds)
    const virtualMachine = this.virtualMachines.byId.get(worker.virtualMachine)
    if (!virtualMachine || virtualMachine.worker !== worker.id) return
    if (this.faults.keepsIdAfterCrash) this.restart(worker)
    else this.virtualMachines.workerStarted(this._startWorker(worker.virtualMachine, worker.pool, worker.zone, worker.address))
  }

  private _add (worker: EmulatedWorker): void {
    this.workerIncarnations.push(worker)
    const { registrationMilliseconds, warmUpMilliseconds, stopMilliseconds } = this.faults
    Object.assign(worker, { warmUpMilliseconds, stopMilliseconds, onCrash: () => { this._crashAndRestart(worker).catch(() => {}) } })
    this._onWorkerAdded(worker)
    this._workersByAddress.set(worker.address, worker)
    if (registrationMilliseconds === 0) this.registry.register(worker)
    else this._clock.sleepUntil(this._clock.now() + registrationMilliseconds).then(() => this.registry.register(worker)).catch(() => {})
  }

  private _encode ({ status, body }: { status: number, body: Buffer | object }): { status: number, body: Buffer } {
    return { status, body: Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body)) }
  }
}
