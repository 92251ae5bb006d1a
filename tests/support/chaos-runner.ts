/**
 * A seeded simulation of entry processes, endpoints, the platform and callers, with faults and operator actions in random order.
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
const TEAM_UPPER_LIMIT = 10
const KEY = `sgk.key.${'k'.repeat(32)}`

/** Time within which an accepted change must be in force everywhere, in milliseconds: the requirement is "within seconds". */
export const CHANGE_PROPAGATION_LIMIT_MILLISECONDS = 5_000

/** A request and its outcome as the caller saw them. */
export interface SentRequest {
  readonly mark: string
  readonly method: 'PUT' | 'POST'
  readonly key: string
  readonly zone: string
  readonly sentAt: number
  /** One of answered, not-run, ran, unknown, and broken (the connection broke before a response). */
  outcome: string
  body: string
}

/** An interval during which a fault or a change was in effect, for the checks. */
export interface Interval {
  readonly subject: string
  readonly from: number
  to: number
}

/** Access of one process to the log, which a network partition can interrupt. */
class PartitionableLog extends PlatformLog {
  constructor (private readonly _log: FakePlatformLog, private readonly _isPartitioned: () => boolean) {
    super()
  }

  override async append (records: readonly LogRecord[]): Promise<Either<PlatformError, void>> {
    return this._isPartitioned() ? Left(new PlatformError('unreachable', 'network partition')) : this._log.append(records)
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>> {
    if (this._isPartitioned()) return Left(new PlatformError('unreachable', 'network partition'))
    const page = await this._log.read(offset, waitDeadline, signal)
    return this._isPartitioned() ? Left(new PlatformError('unreachable', 'network partition')) : page
  }
}

/** Reboots simulated endpoints, and completes each reboot after a second. */
class ChaosVirtualMachineControl extends VirtualMachineControl {
  /** Completion time of each reboot, by VM and intent. */
  private readonly _rebootDeadlines = new Map<string, number>()

  constructor (private readonly _endpoints: ReadonlyMap<string, ChaosEndpoint>, private readonly _clock: FakeClock) {
    super()
  }

  override async list (): Promise<Either<PlatformError, VirtualMachineListing>> {
    return Right({ asOf: this._clock.now(), virtualMachines: [] })
  }

  override async reboot (id: string, intentId: string, pool: string): Promise<Either<PlatformError, boolean>> {
    const key = `${id}/${intentId}`
    if (!this._rebootDeadlines.has(key)) {
      this._rebootDeadlines.set(key, this._clock.now() + 1_000)
      this._endpoints.get(id)?.reboot(pool, 1_000)
    }
    return Right(this._clock.now() >= (this._rebootDeadlines.get(key) ?? Infinity))
  }
}

/** Probes simulated endpoints for the control process. */
class ChaosProber extends EndpointProber {
  constructor (private readonly _endpoints: ReadonlyMap<string, ChaosEndpoint>) {
    super()
  }

  override async probe (address: SocketAddress): Promise<Maybe<EndpointHealth>> {
    const endpoint = [...this._endpoints.values()][address.port - 1]
    if (!endpoint) throw new Error('no endpoint has this port')
    return endpoint.health()
  }
}

/** Runs the simulation of a seed, and records what callers and endpoints saw. */
export class ChaosRunner {
  readonly clock = new FakeClock()
  readonly log = new FakePlatformLog(this.clock)
  readonly endpoints = new Map<string, ChaosEndpoint>()
  readonly entries = new Map<string, ChaosEntry>()
  readonly sentRequests: SentRequest[] = []
  /** When zones were out and keys were withdrawn, each from the time at which the change was accepted. */
  readonly intervals: Interval[] = []
  /** When zones were cut off from the log and from all other zones. */
  readonly partitions: Interval[] = []
  /** Maximum number of the team's requests that were running at once. */
  peakRunning = 0
  /** Minimum number of VMs of a pool that were not rebooting. */
  fewestAvailable = Infinity
  readonly teamUpperLimit = TEAM_UPPER_LIMIT
  /** Number of faults and operator actions. */
  actionCount = 0
  private readonly _partitionedZones = new Set<string>()
  private readonly _random: SeededRandomSource
  private _submitter: CommandSubmitter | null = null
  private _keeper: StateKeeper | null = null
  private _controlMembership: Membership | null = null
  private _changeCount = 0
  private _extraKeyCount = 0
  private _incarnationCount = 0
  private _isEnding = false

  constructor (private readonly _seed: number) {
    this._random = new SeededRandomSource(_seed)
  }

  /** Runs for a duration of simulated time, then clears the faults and waits until all callers are done. */
  async run (milliseconds: number): Promise<void> {
    this._configure()
    this._startControl()
    for (const zone of ZONES) this._startEntry(zone)
    void this._exchangeHeartbeats()
    void this._trackExtremes()
    await this.clock.advance(3_000)
    const callers = ZONES.flatMap(zone => Array.from({ length: 4 }, (_, index) => this._runCaller(zone, index)))
    const end = this.clock.now() + milliseconds
    while (this.clock.now() < end) {
      await this._performRandomAction()
      await this.clock.advance(200 + this._random.integer(2_000))
    }
    this._clearFaults()
    this._isEnding = true
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
      { kind: 'put-team', value: { name: 'team', share: 1, upperLimit: TEAM_UPPER_LIMIT }, expectedVersion: 0 },
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
    const context: ControlContext = { self: holder, keeper, submitter, identifiers: new SequentialIdentifierSource('control'), clock: this.clock, random: this._random, metrics }
    const neverAborted = new AbortController().signal
    void new LogFollowerTask(this.log, keeper, this.clock, this._random, metrics).run(neverAborted)
    void writer.run(neverAborted)
    void new OperationTask(context, membership, new ChaosVirtualMachineControl(this.endpoints, this.clock), new ChaosProber(this.endpoints)).run(neverAborted)
    void new CapacityTask(context, new FewestMovesPlanner()).run(neverAborted)
    this._submitter = submitter
    this._keeper = keeper
    this._controlMembership = membership
  }

  private _startEntry (zone: string): void {
    const name = `entry-${zone}`
    const isPartitioned = (): boolean => this._partitionedZones.has(zone)
    const links = new Map([...this.endpoints].map(([id, endpoint]) => [id, endpoint.createLink(() => endpoint.zone !== zone && (isPartitioned() || this._partitionedZones.has(endpoint.zone)))]))
    this._incarnationCount += 1
    this.entries.set(zone, new ChaosEntry(name, zone, `life-${this._incarnationCount}`, this.clock, new PartitionableLog(this.log, isPartitioned), links, this._seed * 31 + this._incarnationCount))
  }

  /** Exchanges heartbeats between processes that no partition separates. Passes log records along too, for processes that can't read the log. */
  private async _exchangeHeartbeats (): Promise<void> {
    for (;;) {
      const runningEntries = [...this.entries].filter(([, entry]) => !entry.isCrashed)
      for (const [zone, entry] of runningEntries) {
        const statuses = [entry.membership.createOwnStatus()]
        if (!this._partitionedZones.has(zone) && this._controlMembership && this._keeper) {
          this._controlMembership.applyStatuses(statuses)
          this._copyRecords(this._keeper, entry.keeper)
          entry.membership.applyStatuses([this._controlMembership.createOwnStatus()])
        }
        for (const [other, receiver] of runningEntries) {
          if (other === zone || this._partitionedZones.has(zone) || this._partitionedZones.has(other)) continue
          this._copyRecords(entry.keeper, receiver.keeper)
          receiver.membership.applyStatuses(statuses)
        }
      }
      await this.clock.sleepUntil(this.clock.now() + 250)
    }
  }

  private _copyRecords (from: StateKeeper, to: StateKeeper): void {
    const { records, snapshot } = from.recordsSince(to.state.offset)
    if (snapshot) to.loadSnapshot(snapshot)
    to.applyRecords(records)
  }

  private async _trackExtremes (): Promise<void> {
    for (;;) {
      const running = [...this.endpoints.values()].flatMap(endpoint => endpoint.running).filter(execution => execution.team === 'team').length
      this.peakRunning = Math.max(this.peakRunning, running)
      for (const pool of ['one', 'two']) {
        const poolEndpoints = [...this.endpoints.values()].filter(endpoint => endpoint.pool === pool)
        this.fewestAvailable = Math.min(this.fewestAvailable, poolEndpoints.filter(endpoint => !endpoint.isRebooting).length)
      }
      await this.clock.sleepUntil(this.clock.now() + 10)
    }
  }

  private async _runCaller (zone: string, callerIndex: number): Promise<void> {
    for (let count = 0; !this._isEnding; count++) {
      const entry = this.entries.get(zone)
      await this.clock.sleepUntil(this.clock.now() + 20 + this._random.integer(120))
      if (!entry || entry.isCrashed) continue
      const mark = `${zone}-${callerIndex}-${count}`
      const method = this._random.next() < 0.5 ? 'PUT' as const : 'POST' as const
      const key = this._chooseKey()
      const idempotencyKey = method === 'POST' && this._random.next() < 0.5 ? mark : null
      const request = { mark, key, queue: 'work', method, idempotencyKey, workMilliseconds: 10 + this._random.integer(400) }
      await this._send(entry, zone, request)
      // Sends the same request again, to a randomly chosen entry process.
      const other = this.entries.get(ZONES[this._random.integer(3)] ?? 'a')
      if (idempotencyKey !== null && other && !other.isCrashed && this._random.next() < 0.5) await this._send(other, other.zone, request)
    }
  }

  private async _send (entry: ChaosEntry, zone: string, request: Parameters<ChaosEntry['serve']>[0]): Promise<void> {
    const sentRequest: SentRequest = { mark: request.mark, method: request.method, key: request.key, zone, sentAt: this.clock.now(), outcome: 'broken', body: '' }
    this.sentRequests.push(sentRequest)
    const response = await entry.serve(request)
    if (response) Object.assign(sentRequest, response)
  }

  /** Returns the valid key, or sometimes a withdrawn one. */
  private _chooseKey (): string {
    const withdrawn = this.intervals.filter(({ subject }) => subject.startsWith('sgk.'))
    if (withdrawn.length > 0 && this._random.next() < 0.2) return withdrawn[this._random.integer(withdrawn.length)]?.subject ?? KEY
    return KEY
  }

  /** Sets or clears one fault, or performs one operator action. */
  private async _performRandomAction (): Promise<void> {
    this.actionCount += 1
    const endpoint = [...this.endpoints.values()][this._random.integer(this.endpoints.size)]
    const zone = ZONES[this._random.integer(3)] ?? 'a'
    const actions: (() => Promise<void> | void)[] = [
      () => { this.log.isDown = !this.log.isDown; this.log.wakeReaders() },
      () => { this.log.lostResponses = 1 + this._random.integer(3) },
      () => { this.log.lostAppends = 1 + this._random.integer(3) },
      () => this._togglePartition(zone),
      () => { this.entries.get(zone)?.crash(); this._startEntry(zone) },
      () => { if (endpoint) endpoint.faults.isDown = !endpoint.faults.isDown },
      () => { if (endpoint) endpoint.faults.losesResponses = !endpoint.faults.losesResponses },
      () => { if (endpoint) endpoint.faults.truncatesResponses = !endpoint.faults.truncatesResponses },
      () => { if (endpoint) endpoint.faults.refusesRequests = !endpoint.faults.refusesRequests },
      () => { if (endpoint) endpoint.faults.slowMilliseconds = this._random.integer(2) * 1_500 },
      () => this._toggleZone(zone),
      () => this._moveVirtualMachine(),
      () => this._startWave(),
      () => this._withdrawNewKey()
    ]
    await actions[this._random.integer(actions.length)]?.()
  }

  private _togglePartition (zone: string): void {
    if (this._partitionedZones.delete(zone)) {
      const openInterval = this.partitions.findLast(partition => partition.subject === zone)
      if (openInterval) openInterval.to = this.clock.now()
      return
    }
    this._partitionedZones.add(zone)
    this.partitions.push({ subject: zone, from: this.clock.now(), to: Infinity })
  }

  private _clearFaults (): void {
    for (const zone of [...this._partitionedZones]) this._togglePartition(zone)
    this.log.isDown = false
    this.log.wakeReaders()
    for (const { faults } of this.endpoints.values()) Object.assign(faults, { isDown: false, losesResponses: false, truncatesResponses: false, refusesRequests: false, slowMilliseconds: 0 })
  }

  private async _toggleZone (zone: string): Promise<void> {
    const isOut = this._keeper?.state.isZoneOut(zone) ?? false
    const expectedVersion = this._keeper?.state.availabilityZones.get(zone)?.version ?? 0
    const submittedAt = this.clock.now()
    const accepted = await this._submitChange({ kind: 'set-availability-zone', availabilityZone: zone, isOut: !isOut, force: false, expectedVersion })
    this._recordInterval(`zone ${zone}`, accepted, isOut, submittedAt)
  }

  private async _moveVirtualMachine (): Promise<void> {
    const candidate = [...this._keeper?.state.virtualMachines.values() ?? []].filter(({ operation }) => !operation)[0]
    if (!candidate) return
    const toPool = candidate.value.pool === 'one' ? 'two' : 'one'
    await this._submitChange({ kind: 'start-operation', virtualMachine: candidate.value.id, operation: { kind: 'move', toPool, intentId: `move-${this._changeCount}`, wave: null }, expectedVersion: candidate.version, proof: null })
  }

  private async _startWave (): Promise<void> {
    // At most all VMs at once, so that only the availability budgets limit the wave.
    const order = [...this._keeper?.state.virtualMachines.keys() ?? []]
    await this._submitChange({ kind: 'start-wave', name: `wave-${this._changeCount}`, order, maximumAtOnce: order.length })
  }

  private async _withdrawNewKey (): Promise<void> {
    this._extraKeyCount += 1
    const id = `extra-${this._extraKeyCount}`
    const key = `sgk.${id}.${'x'.repeat(32)}`
    await this._submitChange({ kind: 'grant-key', value: { id, team: 'team', queues: [], sha256: createHash('sha256').update(key).digest('hex') } })
    const submittedAt = this.clock.now()
    const accepted = await this._submitChange({ kind: 'withdraw-key', keyId: id })
    this._recordInterval(key, accepted, false, submittedAt)
  }

  /**
   * Begins an interval when its change is known to be accepted. Ends it as of the time at which the ending
   * change was submitted, because that change may be in force before its response arrives.
   */
  private _recordInterval (subject: string, isAccepted: boolean, endsInterval: boolean, submittedAt: number): void {
    if (!isAccepted) return
    const openInterval = this.intervals.findLast(interval => interval.subject === subject && interval.to === Infinity)
    if (endsInterval && openInterval) openInterval.to = submittedAt
    if (!endsInterval && !openInterval) this.intervals.push({ subject, from: this.clock.now(), to: Infinity })
  }

  private async _submitChange (command: Command): Promise<boolean> {
    const result = this._submitter?.submit(command, { id: `change-${this._changeCount++}`, purpose: 'operators', deadline: this.clock.now() + 1_000 })
    await this.clock.advance(1_001)
    return (await result)?.kind === 'accepted'
  }
}
