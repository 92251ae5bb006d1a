/**
 * Control processes on a log in memory, with a platform and entry processes played by the test.
 */
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import { Left, Right, type Either } from 'purify-ts/Either'
import { CapacityTask } from '../../src/control/capacity-task.js'
import type { ControlContext } from '../../src/control/control-context.js'
import { FairSharePlacement } from '../../src/control/fair-share-placement.js'
import { FewestMovesPlanner } from '../../src/control/fewest-moves-planner.js'
import { OperationTask } from '../../src/control/operation-task.js'
import { TaskPlacementTask } from '../../src/control/task-placement-task.js'
import { EndpointProber } from '../../src/endpoints/endpoint-prober.js'
import { MemoryMetrics } from '../../src/observability/memory-metrics.js'
import { Membership } from '../../src/peers/membership.js'
import { ControlRoleStatusSource } from '../../src/peers/control-role-status-source.js'
import { PlatformError } from '../../src/state/platform-error.js'
import { VirtualMachineControl } from '../../src/control/virtual-machine-control.js'
import { WorkerControl } from '../../src/control/worker-control.js'
import type { WorkerRun } from '../../src/control/worker-run.js'
import type { Command } from '../../src/schemas/command.js'
import type { EndpointHealth } from '../../src/schemas/endpoint-health.js'
import type { Member } from '../../src/schemas/member.js'
import type { SocketAddress } from '../../src/schemas/socket-address.js'
import type { VirtualMachineListing } from '../../src/schemas/virtual-machine-listing.js'
import type { WorkerUsageReport } from '../../src/schemas/worker-usage-report.js'
import { CommandSubmitter } from '../../src/state/command-submitter.js'
import { LogFollowerTask } from '../../src/state/log-follower-task.js'
import { LogWriterTask } from '../../src/state/log-writer-task.js'
import { StateKeeper } from '../../src/state/state-keeper.js'
import type { Task } from '../../src/supervision/task.js'
import { SeededRandomSource } from '../../src/supervision/seeded-random-source.js'
import { SimulatedWorkers } from '../../stand-ins/simulated-workers.js'
import { FakeClock } from './fake-clock.js'
import { FakePlatformLog } from './fake-platform-log.js'
import { SequentialIdentifierSource } from './sequential-identifier-source.js'

/** A VM as the platform has it. */
interface PlayedMachine {
  pool: string
  isDown: boolean
  /** Intents with the moment at which each is done. */
  readonly intents: Map<string, number>
  /** Reboots carried out. */
  reboots: number
}

/** The platform, with faults. */
class PlayedPlatform extends VirtualMachineControl {
  readonly machines = new Map<string, PlayedMachine>()
  readonly idsByPort = new Map<number, string>()
  rebootMilliseconds = 1_000
  /** VMs that never come back from a reboot. */
  readonly lost = new Set<string>()
  isDown = false
  /** Entry VMs on the list, which may lag. */
  listed: string[] = []
  /** Answers to reboot orders are lost after they took effect. */
  losesAnswers = false

  constructor (private readonly _clock: FakeClock) {
    super()
  }

  override async list (): Promise<Either<PlatformError, VirtualMachineListing>> {
    return Right({ asOf: this._clock.now(), virtualMachines: [...this.machines.keys(), ...this.listed].map(id => ({ id, state: 'live' as const })) })
  }

  override async reboot (id: string, intentId: string, pool: string): Promise<Either<PlatformError, boolean>> {
    if (this.isDown) return Left(new PlatformError('unreachable', 'down'))
    const machine = this.machines.get(id)
    if (!machine) return Left(new PlatformError('invalid', 'no such VM'))
    if (!machine.intents.has(intentId)) {
      machine.intents.set(intentId, this.lost.has(id) ? Infinity : this._clock.now() + this.rebootMilliseconds)
      machine.reboots += 1
      machine.pool = pool
    }
    if (this.losesAnswers) return Left(new PlatformError('unknown', 'answer lost'))
    return Right(this._clock.now() >= (machine.intents.get(intentId) ?? Infinity))
  }
}

/** Endpoints' health by the platform's account of their VMs. */
class PlayedProber extends EndpointProber {
  constructor (private readonly _platform: PlayedPlatform, private readonly _idAt: (address: SocketAddress) => string, private readonly _clock: FakeClock) {
    super()
  }

  override async probe (address: SocketAddress): Promise<Maybe<EndpointHealth>> {
    const id = this._idAt(address)
    const machine = this._platform.machines.get(id)
    const isRebooting = [...machine?.intents.values() ?? []].some(doneAt => doneAt > this._clock.now())
    if (!machine || machine.isDown || isRebooting) return Nothing
    return Just({ virtualMachine: id, pool: machine.pool, bootId: String(machine.reboots), slots: 8, running: [] })
  }
}

/** The platform's workers, with faults on the way to them. */
class PlayedWorkerControl extends WorkerControl {
  /** Answers are lost after orders took effect. */
  losesAnswers = false
  isDown = false

  constructor (readonly workers: SimulatedWorkers) {
    super()
  }

  override async start ({ worker, ...run }: WorkerRun): Promise<Either<PlatformError, void>> {
    return this._order(() => this.workers.start(worker, run))
  }

  override async stop (worker: string, task: string, token: number): Promise<Either<PlatformError, void>> {
    return this._order(() => this.workers.stop(worker, task, token))
  }

  override async reports (): Promise<Either<PlatformError, WorkerUsageReport[]>> {
    return this.isDown ? Left(new PlatformError('unreachable', 'down')) : Right(this.workers.reports())
  }

  private _order (order: () => void): Either<PlatformError, void> {
    if (this.isDown) return Left(new PlatformError('unreachable', 'down'))
    order()
    return this.losesAnswers ? Left(new PlatformError('unknown', 'answer lost')) : Right(undefined)
  }
}

/** One control process. */
class PlayedControl {
  readonly keeper: StateKeeper
  readonly membership: Membership
  readonly submitter: CommandSubmitter
  /** What further tasks of the process are made of. */
  readonly parts: ControlContext
  readonly writer: LogWriterTask
  readonly prober: EndpointProber
  private readonly _stop = new AbortController()

  constructor (readonly name: string, clock: FakeClock, log: FakePlatformLog, platform: PlayedPlatform, workers: PlayedWorkerControl) {
    const metrics = new MemoryMetrics()
    const random = new SeededRandomSource(name.charCodeAt(name.length - 1))
    const self: Member = { id: name, incarnation: '1', role: 'control', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: name, joinedAt: clock.now() }
    const holder = { member: name, incarnation: '1' }
    this.keeper = new StateKeeper(clock, metrics)
    this.writer = new LogWriterTask(log, this.keeper, clock, random, metrics)
    this.submitter = new CommandSubmitter(holder, this.writer, this.keeper, clock)
    this.membership = new Membership(self, this.keeper, new ControlRoleStatusSource(), () => true, clock)
    const parts: ControlContext = { self: holder, keeper: this.keeper, submitter: this.submitter, identifiers: new SequentialIdentifierSource(name), clock, random, metrics }
    const idAt = ({ port }: SocketAddress): string => platform.idsByPort.get(port) ?? ''
    const { signal } = this._stop
    void new LogFollowerTask(log, this.keeper, clock, random, metrics).run(signal)
    this.parts = parts
    this.prober = new PlayedProber(platform, idAt, clock)
    void this.writer.run(signal)
    void new OperationTask(parts, this.membership, platform, this.prober).run(signal)
    void new CapacityTask(parts, new FewestMovesPlanner()).run(signal)
    void new TaskPlacementTask(parts, workers, new FairSharePlacement(random)).run(signal)
  }

  /** Runs a further task of the process. */
  run (task: Task): void {
    void task.run(this._stop.signal)
  }

  /** Ends the process without a word, as a crash or a pause without end does. */
  kill (): void {
    this._stop.abort()
  }
}

/** Some control processes, entry processes that answer by script, and a platform. */
export class ControlFleet {
  readonly clock = new FakeClock()
  readonly log = new FakePlatformLog(this.clock)
  readonly platform = new PlayedPlatform(this.clock)
  readonly workers = new SimulatedWorkers(this.clock)
  readonly workerControl = new PlayedWorkerControl(this.workers)
  readonly controls: PlayedControl[] = []
  /** Entry processes that don't answer. */
  readonly unresponsiveEntries = new Set<string>()
  /** VMs that each entry process cannot reach. */
  readonly suspected = new Map<string, string[]>()
  /** VMs on which the entry processes still have work. */
  readonly busy = new Set<string>()
  private readonly _entries: string[] = []
  private _sequence = 0
  private _changes = 0

  /** State of the first control process. */
  get state (): StateKeeper['state'] {
    const [first] = this.controls
    if (!first) throw new Error('no control process')
    return first.keeper.state
  }

  /** Writes the configuration and starts control processes and the entry processes' heartbeats. */
  async start (commands: readonly Command[], controls = 1, entries: readonly string[] = ['entry-a', 'entry-b']): Promise<void> {
    this._entries.push(...entries)
    const join = (id: string, role: Member['role'], zone: string): Command => ({
      kind: 'join-member', value: { id, incarnation: '1', role, availabilityZone: zone, address: { host: '127.0.0.1', port: 1 }, host: id, joinedAt: this.clock.now() }
    })
    const names = Array.from({ length: controls }, (_, index) => `control-${index}`)
    const members = [...names.map(name => join(name, 'control', 'a')), ...entries.map(name => join(name, 'entry', name.slice(-1)))]
    this.log.write([...members, ...commands].map((body, index) => ({ id: `setup-${index}`, author: { member: 'operator', incarnation: '1' }, time: this.clock.now(), body })))
    for (const command of commands) {
      if (command.kind !== 'put-virtual-machine') continue
      this.platform.idsByPort.set(command.value.address.port, command.value.id)
      this.platform.machines.set(command.value.id, { pool: command.value.pool, isDown: false, intents: new Map(), reboots: 0 })
    }
    for (const name of names) this.controls.push(new PlayedControl(name, this.clock, this.log, this.platform, this.workerControl))
    void this._beat()
    await this.clock.advance(2_000)
  }

  /** Submits an operator's change and returns whether it was accepted. */
  async change (command: Command): Promise<boolean> {
    const [first] = this.controls
    const result = first?.submitter.submit(command, { id: `change-${this._changes++}`, purpose: 'operators', deadline: this.clock.now() + 2_000 })
    await this.clock.advance(500)
    return (await result)?.kind === 'accepted'
  }

  /** Lets time pass until something holds; fails the test after an hour of simulated time. */
  async waitUntil (condition: () => boolean, what: string): Promise<void> {
    for (let passed = 0; !condition(); passed += 100) {
      if (passed > 3_600_000) throw new Error(`never happened: ${what}`)
      await this.clock.advance(100)
    }
  }

  private async _beat (): Promise<void> {
    for (;;) {
      for (const control of this.controls) {
        const { offset } = control.keeper.state
        const entries = this._entries.filter(name => !this.unresponsiveEntries.has(name)).map(member => ({
          member, incarnation: '1', sequence: this._sequence++, offset, freshAt: this.clock.now(), reachesLog: true, busyVirtualMachines: [...this.busy], suspectedVirtualMachines: this.suspected.get(member) ?? []
        }))
        control.membership.applyStatuses(entries)
      }
      await this.clock.sleepUntil(this.clock.now() + 250)
    }
  }
}
