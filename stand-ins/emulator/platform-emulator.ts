/**
 * An emulator of the users' platform: log store, workers, VMs, advice, operators.
 */
import type { Clock } from '../../src/supervision/clock.js'
import { CallRate } from './call-rate.js'
import { EmulatedMachines } from './emulated-machines.js'
import { EmulatedStore } from './emulated-store.js'
import { EmulatedWorker } from './emulated-worker.js'
import { EmulatorFaults } from './emulator-faults.js'

/** Addresses of the platform's own services. */
const STORE = '10.9.0.1:8344'
const MACHINES = '10.9.0.2:8344'
const ADVICE = '10.9.0.3:8344'

/** Silence after which a worker's entry is dropped, in milliseconds. */
const ENTRY_LIFETIME_MILLISECONDS = 4_500

/** Times of VMs, in milliseconds. */
const MOVE_MILLISECONDS = 1_500
const MAINTENANCE_MILLISECONDS = 2_000

/** Lists of VMs and orders to them that the interface takes a second, each, from all processes together. */
const MACHINE_CALLS_PER_SECOND = 64

/** Way of a call to a worker, in milliseconds: whoever asks again and again takes time. */
const WORKER_LATENCY_MILLISECONDS = 1

/** First two numbers of workers' addresses, unless the emulator is served on a real network. */
const WORKER_NETWORK = '10.8'

/** Longest lease, in milliseconds. */
const MAXIMUM_LEASE_MILLISECONDS = 6_000

/** A request to any of the emulated addresses. */
interface EmulatedRequest {
  readonly caller: string
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  /** Whether the caller has broken the call off: a worker that has not begun with it drops it. */
  readonly isBrokenOff?: () => boolean
}

/** Transport-independent: tests call it directly, `EmulatorServer` serves it over HTTP. */
export class PlatformEmulator {
  readonly store: EmulatedStore
  readonly machines: EmulatedMachines
  readonly faults = new EmulatorFaults()
  /** Workers of all lives, for the checker. */
  readonly lives: EmulatedWorker[] = []
  /** Present lives by address. */
  private readonly _workers = new Map<string, EmulatedWorker>()
  private readonly _lists: CallRate
  private readonly _orders: CallRate
  private _count = 0

  /**
   * @param _fate how a task's run goes.
   * @param _workerNetwork first two numbers of workers' addresses.
   * @param _onWorker told of each worker before it registers.
   */
  constructor (
    private readonly _clock: Clock, private readonly _fate: ConstructorParameters<typeof EmulatedWorker>[6],
    private readonly _workerNetwork = WORKER_NETWORK, private readonly _onWorker: (worker: EmulatedWorker) => void = () => {}
  ) {
    this.store = new EmulatedStore(_clock)
    this._lists = new CallRate(_clock, MACHINE_CALLS_PER_SECOND)
    this._orders = new CallRate(_clock, MACHINE_CALLS_PER_SECOND)
    this.machines = new EmulatedMachines(
      _clock,
      machine => { for (const worker of this._workers.values()) if (worker.machine === machine.id) this.end(worker) },
      machine => machine.pool === 'standby' ? '' : this._startWorker(machine.id, machine.pool, machine.zone).id,
      MOVE_MILLISECONDS, MAINTENANCE_MILLISECONDS
    )
  }

  /** Where the services are. */
  get addresses (): { store: string, machines: string, advice: string } {
    return { store: STORE, machines: MACHINES, advice: ADVICE }
  }

  /** Adds a VM to a pool; on standby it is no worker. */
  addMachine (pool: string, zone: string, rack = 'r1'): EmulatedWorker | null {
    const id = `m-${this.machines.machines.size}`
    const machine = { id, zone, rack, pool, state: 'up' as const, worker: '', waves: new Set<number>(), token: 0 }
    this.machines.machines.set(id, machine)
    if (pool === 'standby') return null
    const worker = this._startWorker(id, pool, zone)
    this.machines.machines.set(id, { ...machine, worker: worker.id })
    return worker
  }

  /** Publishes as an operator does. */
  publish (key: string, value: object | null): void {
    this.store.put('keyed.op', key, value)
  }

  /** A worker reports that it shuts down. */
  drain (worker: EmulatedWorker): void {
    worker.isDraining = true
    this._register(worker)
  }

  /** A worker leaves in good order. */
  end (worker: EmulatedWorker): void {
    worker.kill()
    this._workers.delete(worker.address)
    this.store.put('keyed.servers', worker.id, null)
  }

  /** A worker falls silent for good; its entry lapses. */
  crash (worker: EmulatedWorker): void {
    worker.kill()
    this._workers.delete(worker.address)
    this._clock.sleepUntil(this._clock.now() + ENTRY_LIFETIME_MILLISECONDS).then(() => this.store.put('keyed.servers', worker.id, null)).catch(() => {})
  }

  /** Whether a worker is still the one that its VM is. */
  isPresent ({ id, machine }: EmulatedWorker): boolean {
    return this.machines.machines.get(machine)?.worker === id
  }

  /** The same worker in a new life. */
  revive (worker: EmulatedWorker): EmulatedWorker {
    const next = new EmulatedWorker(worker.id, worker.pool, worker.address, worker.zone, worker.machine, this._clock, this._fate, MAXIMUM_LEASE_MILLISECONDS)
    this._add(next)
    return next
  }

  /** Serves a request; null stands for no answer. */
  async handle (request: EmulatedRequest): Promise<{ status: number, body: Buffer } | null> {
    const { address, path, headers, body } = request
    if (this.faults.deadCallers.has(request.caller)) return null
    const url = new URL(path, 'http://emulator')
    const call = url.pathname.slice(url.pathname.lastIndexOf('/') + 1)
    if (address === STORE) {
      const answer = await this.faults.apply(request.caller, call, url.searchParams.get('topic') ?? '', () => this.store.handle(call, url.searchParams, body), this._clock)
      return answer ? this._answer(answer) : null
    }
    if (address === MACHINES && !(call === 'machines' ? this._lists : this._orders).take()) return this._answer({ status: 429, body: {} })
    if (address === MACHINES && call === 'machines') return this._answer({ status: 200, body: this.machines.list() })
    if (address === MACHINES && (call === 'machine-move' || call === 'machine-upkeep')) {
      return this._answer(this.machines.order(call, JSON.parse(body.toString()) as { machine: string }, headers['lease-holder'] ?? '', Number(headers['fencing-token'])))
    }
    if (address === ADVICE) return this._advise(JSON.parse(body.toString()) as { workers: string[] })
    const reach = this.faults.reach.get(address)
    if (reach && !reach.has(request.caller)) return null
    return this._callWorker(request, call)
  }

  private async _callWorker ({ address, headers, body, isBrokenOff }: EmulatedRequest, call: string): Promise<{ status: number, body: Buffer } | null> {
    const worker = this._workers.get(address)
    if (!worker || worker.isCut) return null
    await this._clock.sleepUntil(this._clock.now() + WORKER_LATENCY_MILLISECONDS)
    if (headers['expect-instance'] !== worker.id) return this._answer({ status: 421, body: {} })
    const order = JSON.parse(body.toString()) as Record<string, never>
    if (call === 'run-start' && this.faults.takeLateStart()) {
      this._clock.sleepUntil(this._clock.now() + this.faults.lateMilliseconds).then(() => worker.handle(call, order)).catch(() => {})
      return null
    }
    if (call === 'run-start' && this.faults.startLatencyMilliseconds > 0) await this._clock.sleepUntil(this._clock.now() + this.faults.startLatencyMilliseconds)
    if (isBrokenOff?.()) return null
    const answer = await worker.handle(call, order)
    return worker.isCut || this._workers.get(address) !== worker ? null : this._answer(answer)
  }

  /** Every second worker named is good. */
  private _advise ({ workers }: { workers: string[] }): { status: number, body: Buffer } {
    return this._answer({ status: 200, body: { good: workers.filter((_, index) => index % 2 === 0).map(id => [id, `ticket-${id}`]), valid_ms: 3_000 } })
  }

  private _startWorker (machine: string, pool: string, zone: string): EmulatedWorker {
    this._count += 1
    const worker = new EmulatedWorker(
      `i-${this._count}`, pool, `${this._workerNetwork}.${this._count >> 8}.${this._count & 255}:8080`, zone, machine, this._clock, this._fate, MAXIMUM_LEASE_MILLISECONDS)
    this._add(worker)
    return worker
  }

  private _add (worker: EmulatedWorker): void {
    this.lives.push(worker)
    this._onWorker(worker)
    this._workers.set(worker.address, worker)
    this._register(worker)
  }

  private _register (worker: EmulatedWorker): void {
    this.store.put('keyed.servers', worker.id, {
      service: worker.pool,
      address: worker.address,
      zone: worker.zone,
      version: 'v1',
      slots: 8,
      state: worker.isDraining ? 'draining' : 'ready',
      cold_remaining_ms: 0,
      seq: 1,
      born: worker.born,
      capacity: { cpu: 64_000, mem_mb: 131_072 },
      labels: ['a', this.machines.machines.get(worker.machine)?.rack ?? ''],
      clock_ms: worker.clock
    })
  }

  private _answer ({ status, body }: { status: number, body: Buffer | object }): { status: number, body: Buffer } {
    return { status, body: Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body)) }
  }
}
