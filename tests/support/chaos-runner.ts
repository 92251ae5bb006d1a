/**
 * One seeded run: entry processes, endpoints, a platform, operators and faults in random order.
 */
import { createHash } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { Maybe } from 'purify-ts/Maybe'
import { CapacityTask } from '../../src/control/capacity-task.js'
import type { ControlContext } from '../../src/control/control-context.js'
import { FewestMovesPlanner } from '../../src/control/fewest-moves-planner.js'
import { OperationTask } from '../../src/control/operation-task.js'
import { EndpointProber } from '../../src/endpoints/endpoint-prober.js'
import { MemoryMetrics } from '../../src/observability/memory-metrics.js'
import { Membership } from '../../src/peers/membership.js'
import { ControlRoleStatusSource } from '../../src/peers/control-role-status-source.js'
import { PlatformError } from '../../src/state/platform-error.js'
import { PlatformLog } from '../../src/state/platform-log.js'
import { VirtualMachineControl } from '../../src/control/virtual-machine-control.js'
import type { Command } from '../../src/schemas/command.js'
import type { EndpointHealth } from '../../src/schemas/endpoint-health.js'
import type { LogPage } from '../../src/schemas/log-page.js'
import type { LogRecord } from '../../src/schemas/log-record.js'
import type { Member } from '../../src/schemas/member.js'
import { Pool } from '../../src/schemas/pool.js'
import { Queue } from '../../src/schemas/queue.js'
import type { SocketAddress } from '../../src/schemas/socket-address.js'
import type { VirtualMachineListing } from '../../src/schemas/virtual-machine-listing.js'
import { CommandSubmitter } from '../../src/state/command-submitter.js'
import { LogFollowerTask } from '../../src/state/log-follower-task.js'
import { LogWriterTask } from '../../src/state/log-writer-task.js'
import { StateKeeper } from '../../src/state/state-keeper.js'
import { SeededRandomSource } from '../../src/supervision/seeded-random-source.js'
import { ChaosEndpoint } from './chaos-endpoint.js'
import { ChaosEntry } from './chaos-entry.js'
import { FakeClock } from './fake-clock.js'
import { FakePlatformLog } from './fake-platform-log.js'
import { SequentialIdentifierSource } from './sequential-identifier-source.js'

const ZONES = ['a', 'b', 'c']
const LIMIT = 10
const KEY = `sgk.key.${'k'.repeat(32)}`

/** The promise "within seconds", in milliseconds. */
export const FEW_SECONDS_MILLISECONDS = 5_000

/** A request as its caller saw it. */
export interface Sent {
  readonly mark: string
  readonly method: 'PUT' | 'POST'
  readonly key: string
  readonly zone: string
  readonly sentAt: number
  /** answered, not-run, ran, unknown, or broken. */
  outcome: string
  body: string
}

/** A span of time in which something held, for the checkers. */
export interface Span {
  readonly what: string
  readonly from: number
  to: number
}

/** The log as one process reaches it. */
class CutLog extends PlatformLog {
  constructor (private readonly _log: FakePlatformLog, private readonly _isCut: () => boolean) {
    super()
  }

  override async append (records: readonly LogRecord[]): Promise<Either<PlatformError, void>> {
    return this._isCut() ? Left(new PlatformError('unreachable', 'cut off')) : this._log.append(records)
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>> {
    if (this._isCut()) return Left(new PlatformError('unreachable', 'cut off'))
    const page = await this._log.read(offset, waitDeadline, signal)
    return this._isCut() ? Left(new PlatformError('unreachable', 'cut off')) : page
  }
}

/** The platform's reboots on played endpoints. */
class ChaosPlatform extends VirtualMachineControl {
  private readonly _intents = new Map<string, number>()

  constructor (private readonly _endpoints: ReadonlyMap<string, ChaosEndpoint>, private readonly _clock: FakeClock) {
    super()
  }

  override async list (): Promise<Either<PlatformError, VirtualMachineListing>> {
    return Right({ asOf: this._clock.now(), virtualMachines: [] })
  }

  override async reboot (id: string, intentId: string, pool: string): Promise<Either<PlatformError, boolean>> {
    const key = `${id}/${intentId}`
    if (!this._intents.has(key)) {
      this._intents.set(key, this._clock.now() + 1_000)
      this._endpoints.get(id)?.reboot(pool, 1_000)
    }
    return Right(this._clock.now() >= (this._intents.get(key) ?? Infinity))
  }
}

/** Probes of the control process. */
class ChaosProber extends EndpointProber {
  constructor (private readonly _endpoints: ReadonlyMap<string, ChaosEndpoint>) {
    super()
  }

  override async probe (address: SocketAddress): Promise<Maybe<EndpointHealth>> {
    const endpoint = [...this._endpoints.values()][address.port - 1]
    if (!endpoint) throw new Error('no endpoint')
    return endpoint.health()
  }
}

/** A run from its seed to what callers and endpoints saw. */
export class ChaosRunner {
  readonly clock = new FakeClock()
  readonly log = new FakePlatformLog(this.clock)
  readonly endpoints = new Map<string, ChaosEndpoint>()
  readonly entries = new Map<string, ChaosEntry>()
  readonly sentRequests: Sent[] = []
  /** Zones out, VMs leaving, keys withdrawn: from the moment that the change was accepted. */
  readonly spans: Span[] = []
  /** Times in which a zone was cut off. */
  readonly cuts: Span[] = []
  /** Most running of the team at one moment, and fewest VMs of a pool not rebooting. */
  peakRunning = 0
  fewestUp = Infinity
  readonly limit = LIMIT
  actionCount = 0
  private readonly _cutZones = new Set<string>()
  private readonly _random: SeededRandomSource
  private _submitter: CommandSubmitter | null = null
  private _keeper: StateKeeper | null = null
  private _controlMembership: Membership | null = null
  private _changes = 0
  private _keys = 0
  private _lives = 0
  private _isOver = false

  constructor (private readonly _seed: number) {
    this._random = new SeededRandomSource(_seed)
  }

  /** Runs for some simulated time. */
  async run (milliseconds: number): Promise<void> {
    this._configure()
    this._startControl()
    for (const zone of ZONES) this._startEntry(zone)
    void this._beat()
    void this._watch()
    await this.clock.advance(3_000)
    const callers = ZONES.flatMap(zone => Array.from({ length: 4 }, (_, index) => this._call(zone, index)))
    const end = this.clock.now() + milliseconds
    while (this.clock.now() < end) {
      await this._act()
      await this.clock.advance(200 + this._random.integer(2_000))
    }
    this._heal()
    this._isOver = true
    await this.clock.advance(40_000)
    await Promise.all(callers)
  }

  private _configure (): void {
    const commands: Command[] = [
      ...['one', 'two'].map((name): Command => ({ kind: 'put-pool', value: Pool.parse({ name, minimumServing: 2, slowStartMilliseconds: 0 }), expectedVersion: 0 })),
      ...Array.from({ length: 9 }, (_, index): Command => {
        const pool = index < 6 ? 'one' : 'two'
        const id = `vm-${index}`
        const zone = ZONES[index % 3] ?? 'a'
        this.endpoints.set(id, new ChaosEndpoint(id, zone, pool, this.clock))
        return { kind: 'put-virtual-machine', value: { id, pool, availabilityZone: zone, rack: 'rack', address: { host: '127.0.0.1', port: index + 1 } }, expectedVersion: 0 }
      }),
      { kind: 'put-queue', value: Queue.parse({ name: 'work', pool: 'one', defaultTimeoutMilliseconds: 4_000, maximumTimeoutMilliseconds: 4_000 }), expectedVersion: 0 },
      { kind: 'put-team', value: { name: 'team', share: 1, upperLimit: LIMIT }, expectedVersion: 0 },
      { kind: 'grant-key', value: { id: 'key', team: 'team', queues: [], sha256: createHash('sha256').update(KEY).digest('hex') } }
    ]
    this.log.write(commands.map((body, index) => ({ id: `setup-${index}`, author: { member: 'operator', incarnation: '1' }, time: this.clock.now(), body })))
  }

  private _startControl (): void {
    const metrics = new MemoryMetrics()
    const self: Member = { id: 'control', incarnation: '1', role: 'control', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: 'control', joinedAt: this.clock.now() }
    const holder = { member: 'control', incarnation: '1' }
    this.log.write([{ id: 'join-control', author: holder, time: this.clock.now(), body: { kind: 'join-member', value: self } }])
    const keeper = new StateKeeper(this.clock, metrics)
    const writer = new LogWriterTask(this.log, keeper, this.clock, this._random, metrics)
    const submitter = new CommandSubmitter(holder, writer, keeper, this.clock)
    const membership = new Membership(self, keeper, new ControlRoleStatusSource(), () => !this.log.isDown, this.clock)
    const parts: ControlContext = { self: holder, keeper, submitter, identifiers: new SequentialIdentifierSource('control'), clock: this.clock, random: this._random, metrics }
    const never = new AbortController().signal
    void new LogFollowerTask(this.log, keeper, this.clock, this._random, metrics).run(never)
    void writer.run(never)
    void new OperationTask(parts, membership, new ChaosPlatform(this.endpoints, this.clock), new ChaosProber(this.endpoints)).run(never)
    void new CapacityTask(parts, new FewestMovesPlanner()).run(never)
    this._submitter = submitter
    this._keeper = keeper
    this._controlMembership = membership
  }

  private _startEntry (zone: string): void {
    const name = `entry-${zone}`
    const isCut = (): boolean => this._cutZones.has(zone)
    const links = new Map([...this.endpoints].map(([id, endpoint]) => [id, endpoint.link(() => endpoint.zone !== zone && (isCut() || this._cutZones.has(endpoint.zone)))]))
    this._lives += 1
    this.entries.set(zone, new ChaosEntry(name, zone, `life-${this._lives}`, this.clock, new CutLog(this.log, isCut), links, this._seed * 31 + this._lives))
  }

  /** Heartbeats between processes that aren't cut from each other; records go to those that cannot read the log. */
  private async _beat (): Promise<void> {
    for (;;) {
      const living = [...this.entries].filter(([, entry]) => !entry.isDead)
      for (const [zone, entry] of living) {
        const told = [entry.membership.createOwnStatus()]
        if (!this._cutZones.has(zone) && this._controlMembership && this._keeper) {
          this._controlMembership.applyStatuses(told)
          this._passRecords(this._keeper, entry.keeper)
          entry.membership.applyStatuses([this._controlMembership.createOwnStatus()])
        }
        for (const [other, receiver] of living) {
          if (other === zone || this._cutZones.has(zone) || this._cutZones.has(other)) continue
          this._passRecords(entry.keeper, receiver.keeper)
          receiver.membership.applyStatuses(told)
        }
      }
      await this.clock.sleepUntil(this.clock.now() + 250)
    }
  }

  private _passRecords (from: StateKeeper, to: StateKeeper): void {
    const { records, snapshot } = from.recordsSince(to.state.offset)
    if (snapshot) to.loadSnapshot(snapshot)
    to.applyRecords(records)
  }

  private async _watch (): Promise<void> {
    for (;;) {
      const running = [...this.endpoints.values()].flatMap(endpoint => endpoint.running).filter(run => run.team === 'team').length
      this.peakRunning = Math.max(this.peakRunning, running)
      for (const pool of ['one', 'two']) {
        const members = [...this.endpoints.values()].filter(endpoint => endpoint.pool === pool)
        this.fewestUp = Math.min(this.fewestUp, members.filter(endpoint => !endpoint.isRebooting).length)
      }
      await this.clock.sleepUntil(this.clock.now() + 10)
    }
  }

  private async _call (zone: string, worker: number): Promise<void> {
    for (let count = 0; !this._isOver; count++) {
      const entry = this.entries.get(zone)
      await this.clock.sleepUntil(this.clock.now() + 20 + this._random.integer(120))
      if (!entry || entry.isDead) continue
      const mark = `${zone}-${worker}-${count}`
      const method = this._random.next() < 0.5 ? 'PUT' as const : 'POST' as const
      const key = this._currentKey()
      const idempotencyKey = method === 'POST' && this._random.next() < 0.5 ? mark : null
      const request = { mark, key, queue: 'work', method, idempotencyKey, workMilliseconds: 10 + this._random.integer(400) }
      await this._send(entry, zone, request)
      // A second arrival of the same request, at another entry process.
      const other = this.entries.get(ZONES[this._random.integer(3)] ?? 'a')
      if (idempotencyKey !== null && other && !other.isDead && this._random.next() < 0.5) await this._send(other, other.zone, request)
    }
  }

  private async _send (entry: ChaosEntry, zone: string, request: Parameters<ChaosEntry['serve']>[0]): Promise<void> {
    const sent: Sent = { mark: request.mark, method: request.method, key: request.key, zone, sentAt: this.clock.now(), outcome: 'broken', body: '' }
    this.sentRequests.push(sent)
    const answer = await entry.serve(request)
    if (answer) Object.assign(sent, answer)
  }

  /** The newest key, or now and then one that has been withdrawn. */
  private _currentKey (): string {
    const withdrawn = this.spans.filter(({ what }) => what.startsWith('sgk.'))
    if (withdrawn.length > 0 && this._random.next() < 0.2) return withdrawn[this._random.integer(withdrawn.length)]?.what ?? KEY
    return KEY
  }

  /** One fault or one operator's act. */
  private async _act (): Promise<void> {
    this.actionCount += 1
    const endpoint = [...this.endpoints.values()][this._random.integer(this.endpoints.size)]
    const zone = ZONES[this._random.integer(3)] ?? 'a'
    const actions: (() => Promise<void> | void)[] = [
      () => { this.log.isDown = !this.log.isDown; this.log.wakeReaders() },
      () => { this.log.lostResponses = 1 + this._random.integer(3) },
      () => { this.log.lostAppends = 1 + this._random.integer(3) },
      () => this._toggleCut(zone),
      () => { this.entries.get(zone)?.crash(); this._startEntry(zone) },
      () => { if (endpoint) endpoint.faults.isDown = !endpoint.faults.isDown },
      () => { if (endpoint) endpoint.faults.losesAnswers = !endpoint.faults.losesAnswers },
      () => { if (endpoint) endpoint.faults.truncates = !endpoint.faults.truncates },
      () => { if (endpoint) endpoint.faults.refuses = !endpoint.faults.refuses },
      () => { if (endpoint) endpoint.faults.slowMilliseconds = this._random.integer(2) * 1_500 },
      () => this._setZone(zone),
      () => this._move(),
      () => this._maintain(),
      () => this._withdrawKey()
    ]
    await actions[this._random.integer(actions.length)]?.()
  }

  private _toggleCut (zone: string): void {
    if (this._cutZones.delete(zone)) {
      const open = this.cuts.findLast(cut => cut.what === zone)
      if (open) open.to = this.clock.now()
      return
    }
    this._cutZones.add(zone)
    this.cuts.push({ what: zone, from: this.clock.now(), to: Infinity })
  }

  private _heal (): void {
    for (const zone of [...this._cutZones]) this._toggleCut(zone)
    this.log.isDown = false
    this.log.wakeReaders()
    for (const { faults } of this.endpoints.values()) Object.assign(faults, { isDown: false, losesAnswers: false, truncates: false, refuses: false, slowMilliseconds: 0 })
  }

  private async _setZone (zone: string): Promise<void> {
    const isOut = this._keeper?.state.isZoneOut(zone) ?? false
    const expectedVersion = this._keeper?.state.availabilityZones.get(zone)?.version ?? 0
    const submittedAt = this.clock.now()
    const accepted = await this._change({ kind: 'set-availability-zone', availabilityZone: zone, isOut: !isOut, force: false, expectedVersion })
    this._noteSpan(`zone ${zone}`, accepted, isOut, submittedAt)
  }

  private async _move (): Promise<void> {
    const machine = [...this._keeper?.state.virtualMachines.values() ?? []].filter(({ operation }) => !operation)[0]
    if (!machine) return
    const toPool = machine.value.pool === 'one' ? 'two' : 'one'
    await this._change({ kind: 'start-operation', virtualMachine: machine.value.id, operation: { kind: 'move', toPool, intentId: `move-${this._changes}`, wave: null }, expectedVersion: machine.version, proof: null })
  }

  private async _maintain (): Promise<void> {
    // Nothing but the budgets holds the wave back.
    const order = [...this._keeper?.state.virtualMachines.keys() ?? []]
    await this._change({ kind: 'start-wave', name: `wave-${this._changes}`, order, maximumAtOnce: order.length })
  }

  private async _withdrawKey (): Promise<void> {
    this._keys += 1
    const id = `extra-${this._keys}`
    const key = `sgk.${id}.${'x'.repeat(32)}`
    await this._change({ kind: 'grant-key', value: { id, team: 'team', queues: [], sha256: createHash('sha256').update(key).digest('hex') } })
    const submittedAt = this.clock.now()
    const accepted = await this._change({ kind: 'withdraw-key', keyId: id })
    this._noteSpan(key, accepted, false, submittedAt)
  }

  /** A span begins when its change is known to be accepted, and ends when the change that ends it is sent, for it may be in force before its answer is there. */
  private _noteSpan (what: string, isAccepted: boolean, isEnd: boolean, submittedAt: number): void {
    if (!isAccepted) return
    const open = this.spans.findLast(span => span.what === what && span.to === Infinity)
    if (isEnd && open) open.to = submittedAt
    if (!isEnd && !open) this.spans.push({ what, from: this.clock.now(), to: Infinity })
  }

  private async _change (command: Command): Promise<boolean> {
    const result = this._submitter?.submit(command, { id: `change-${this._changes++}`, purpose: 'operators', deadline: this.clock.now() + 1_000 })
    await this.clock.advance(1_001)
    return (await result)?.kind === 'accepted'
  }
}
