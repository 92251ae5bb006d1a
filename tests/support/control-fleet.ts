/**
 * Control processes with an in-memory log, a simulated platform and simulated entry processes.
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

/** A VM of the simulated platform. */
interface SimulatedVirtualMachine {
  pool: string
  isDown: boolean
  /** Completion time of each reboot, by intent. */
  readonly rebootDeadlines: Map<string, number>
  /** Number of reboots that were carried out. */
  rebootCount: number
}

/** Lists and reboots simulated VMs, with faults. */
class SimulatedPlatform extends VirtualMachineControl {
  readonly virtualMachinesById = new Map<string, SimulatedVirtualMachine>()
  readonly idsByPort = new Map<number, string>()
  rebootMilliseconds = 1_000
  /** IDs of VMs whose reboots never complete. */
  readonly stuckVirtualMachines = new Set<string>()
  isDown = false
  /** IDs of the entry VMs on the platform's list, which may be out of date. */
  listedEntryVirtualMachines: string[] = []
  /** Whether responses to reboot orders are lost after the orders took effect. */
  losesResponses = false

  constructor (private readonly _clock: FakeClock) {
    super()
  }

  override async list (): Promise<Either<PlatformError, VirtualMachineListing>> {
    return Right({ asOf: this._clock.now(), virtualMachines: [...this.virtualMachinesById.keys(), ...this.listedEntryVirtualMachines].map(id => ({ id, state: 'live' as const })) })
  }

  override async reboot (id: string, intentId: string, pool: string): Promise<Either<PlatformError, boolean>> {
    if (this.isDown) return Left(new PlatformError('unreachable', 'platform is down'))
    const target = this.virtualMachinesById.get(id)
    if (!target) return Left(new PlatformError('invalid', 'no such VM'))
    if (!target.rebootDeadlines.has(intentId)) {
      target.rebootDeadlines.set(intentId, this.stuckVirtualMachines.has(id) ? Infinity : this._clock.now() + this.rebootMilliseconds)
      target.rebootCount += 1
      target.pool = pool
    }
    if (this.losesResponses) return Left(new PlatformError('unknown', 'response lost'))
    return Right(this._clock.now() >= (target.rebootDeadlines.get(intentId) ?? Infinity))
  }
}

/** Derives the health of endpoints from the simulated VMs. */
class SimulatedProber extends EndpointProber {
  constructor (private readonly _platform: SimulatedPlatform, private readonly _idAt: (address: SocketAddress) => string, private readonly _clock: FakeClock) {
    super()
  }

  override async probe (address: SocketAddress): Promise<Maybe<EndpointHealth>> {
    const id = this._idAt(address)
    const target = this._platform.virtualMachinesById.get(id)
    const isRebooting = [...target?.rebootDeadlines.values() ?? []].some(rebootDeadline => rebootDeadline > this._clock.now())
    if (!target || target.isDown || isRebooting) return Nothing
    return Just({ virtualMachine: id, pool: target.pool, bootId: String(target.rebootCount), slots: 8, running: [] })
  }
}

/** Passes orders to simulated workers, with faults of the connection. */
class SimulatedWorkerControl extends WorkerControl {
  /** Whether responses are lost after the orders took effect. */
  losesResponses = false
  isDown = false

  constructor (readonly workers: SimulatedWorkers) {
    super()
  }

  override async start ({ worker, ...run }: WorkerRun): Promise<Either<PlatformError, void>> {
    return this._deliverOrder(() => this.workers.start(worker, run))
  }

  override async stop (worker: string, task: string, token: number): Promise<Either<PlatformError, void>> {
    return this._deliverOrder(() => this.workers.stop(worker, task, token))
  }

  override async reports (): Promise<Either<PlatformError, WorkerUsageReport[]>> {
    return this.isDown ? Left(new PlatformError('unreachable', 'platform is down')) : Right(this.workers.reports())
  }

  private _deliverOrder (order: () => void): Either<PlatformError, void> {
    if (this.isDown) return Left(new PlatformError('unreachable', 'platform is down'))
    order()
    return this.losesResponses ? Left(new PlatformError('unknown', 'response lost')) : Right(undefined)
  }
}

/** A control process. */
class ControlProcess {
  readonly keeper: StateKeeper
  readonly membership: Membership
  readonly submitter: CommandSubmitter
  /** Dependencies for further tasks of the process. */
  readonly context: ControlContext
  readonly writer: LogWriterTask
  readonly prober: EndpointProber
  private readonly _stop = new AbortController()

  constructor (readonly name: string, clock: FakeClock, log: FakePlatformLog, platform: SimulatedPlatform, workers: SimulatedWorkerControl) {
    const metrics = new MemoryMetrics()
    const random = new SeededRandomSource(name.charCodeAt(name.length - 1))
    const self: Member = { id: name, incarnation: '1', role: 'control', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: name, joinedAt: clock.now() }
    const holder = { member: name, incarnation: '1' }
    this.keeper = new StateKeeper(clock, metrics)
    this.writer = new LogWriterTask(log, this.keeper, clock, random, metrics)
    this.submitter = new CommandSubmitter(holder, this.writer, this.keeper, clock)
    this.membership = new Membership(self, this.keeper, new ControlRoleStatusSource(), () => true, clock)
    const context: ControlContext = { self: holder, keeper: this.keeper, submitter: this.submitter, identifiers: new SequentialIdentifierSource(name), clock, random, metrics }
    const idAt = ({ port }: SocketAddress): string => platform.idsByPort.get(port) ?? ''
    const { signal } = this._stop
    void new LogFollowerTask(log, this.keeper, clock, random, metrics).run(signal)
    this.context = context
    this.prober = new SimulatedProber(platform, idAt, clock)
    void this.writer.run(signal)
    void new OperationTask(context, this.membership, platform, this.prober).run(signal)
    void new CapacityTask(context, new FewestMovesPlanner()).run(signal)
    void new TaskPlacementTask(context, workers, new FairSharePlacement(random)).run(signal)
  }

  /** Runs a further task in the process. */
  run (task: Task): void {
    void task.run(this._stop.signal)
  }

  /** Stops all tasks at once, as if the process had crashed or been suspended forever. */
  kill (): void {
    this._stop.abort()
  }
}

/** Runs control processes and the simulated platform, and sends heartbeats of simulated entry processes. */
export class ControlFleet {
  readonly clock = new FakeClock()
  readonly log = new FakePlatformLog(this.clock)
  readonly platform = new SimulatedPlatform(this.clock)
  readonly workers = new SimulatedWorkers(this.clock)
  readonly workerControl = new SimulatedWorkerControl(this.workers)
  readonly controls: ControlProcess[] = []
  /** IDs of entry processes that send no heartbeats. */
  readonly unresponsiveEntries = new Set<string>()
  /** IDs of the VMs that each entry process suspects, by the ID of the entry process. */
  readonly suspected = new Map<string, string[]>()
  /** IDs of VMs on which the entry processes still have requests running. */
  readonly busy = new Set<string>()
  private readonly _entries: string[] = []
  private _heartbeatSequence = 0
  private _changeCount = 0

  /** State of the first control process. */
  get state (): StateKeeper['state'] {
    const [first] = this.controls
    if (!first) throw new Error('no control process has been started')
    return first.keeper.state
  }

  /** Writes the configuration, and starts the control processes and the heartbeats of the entry processes. */
  async start (commands: readonly Command[], controlCount = 1, entries: readonly string[] = ['entry-a', 'entry-b']): Promise<void> {
    this._entries.push(...entries)
    const join = (id: string, role: Member['role'], zone: string): Command => ({
      kind: 'join-member', value: { id, incarnation: '1', role, availabilityZone: zone, address: { host: '127.0.0.1', port: 1 }, host: id, joinedAt: this.clock.now() }
    })
    const names = Array.from({ length: controlCount }, (_, index) => `control-${index}`)
    const members = [...names.map(name => join(name, 'control', 'a')), ...entries.map(name => join(name, 'entry', name.slice(-1)))]
    this.log.write([...members, ...commands].map((body, index) => ({ id: `setup-${index}`, author: { member: 'operator', incarnation: '1' }, time: this.clock.now(), body })))
    for (const command of commands) {
      if (command.kind !== 'put-virtual-machine') continue
      this.platform.idsByPort.set(command.value.address.port, command.value.id)
      this.platform.virtualMachinesById.set(command.value.id, { pool: command.value.pool, isDown: false, rebootDeadlines: new Map(), rebootCount: 0 })
    }
    for (const name of names) this.controls.push(new ControlProcess(name, this.clock, this.log, this.platform, this.workerControl))
    void this._sendHeartbeats()
    await this.clock.advance(2_000)
  }

  /** Submits an operator's change and returns whether it was accepted. */
  async change (command: Command): Promise<boolean> {
    const [first] = this.controls
    const result = first?.submitter.submit(command, { id: `change-${this._changeCount++}`, purpose: 'operators', deadline: this.clock.now() + 2_000 })
    await this.clock.advance(500)
    return (await result)?.kind === 'accepted'
  }

  /** Advances time until a condition holds. Throws after an hour of simulated time. */
  async waitUntil (condition: () => boolean, description: string): Promise<void> {
    for (let elapsed = 0; !condition(); elapsed += 100) {
      if (elapsed > 3_600_000) throw new Error(`timed out waiting for: ${description}`)
      await this.clock.advance(100)
    }
  }

  private async _sendHeartbeats (): Promise<void> {
    for (;;) {
      for (const control of this.controls) {
        const { offset } = control.keeper.state
        const statuses = this._entries.filter(name => !this.unresponsiveEntries.has(name)).map(member => ({
          member, incarnation: '1', sequence: this._heartbeatSequence++, offset, freshAt: this.clock.now(), reachesLog: true, busyVirtualMachines: [...this.busy], suspectedVirtualMachines: this.suspected.get(member) ?? []
        }))
        control.membership.applyStatuses(statuses)
      }
      await this.clock.sleepUntil(this.clock.now() + 250)
    }
  }
}
