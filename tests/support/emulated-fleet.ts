/**
 * Complete processes of the system with the platform emulator, in simulated time.
 */
import type { JobResponse } from '../../src/jobs/job-response.js'
import type { StepDefinition } from '../../src/jobs/step-definition.js'
import { NodeTree } from '../../src/main/node-tree.js'
import { MemoryMetrics } from '../../src/observability/memory-metrics.js'
import { NodeSettings } from '../../src/settings/node-settings.js'
import { SeededRandomSource } from '../../src/supervision/seeded-random-source.js'
import { EmulatorDialer } from '../../stand-ins/emulator/emulator-dialer.js'
import { runViolations } from '../../stand-ins/emulator/run-violations.js'
import { PlatformEmulator } from '../../stand-ins/emulator/platform-emulator.js'
import { FakeClock } from './fake-clock.js'
import { PLAIN_STEP } from './plain-step.js'
import { RecordingDecisionLog } from './recording-decision-log.js'
import { ScriptedLoad } from './scripted-load.js'
import { SuspendableClock } from './suspendable-clock.js'

/** Host of the queue that tests use. */
const HOST = 'fleet.example'

/** API key of the team that tests use. */
const KEY = 'key-of-team'

/** Longest lease of fleets that aren't given another, in milliseconds: that of one kind of deployment. The environment variable plays tests and series with that of another. */
const DEFAULT_MAXIMUM_LEASE_MILLISECONDS = Number(process.env['MAXIMUM_LEASE_MILLISECONDS'] ?? 6_000)

/** A process under test. */
interface EmulatedNode {
  readonly tree: NodeTree
  readonly log: RecordingDecisionLog
  readonly metrics: MemoryMetrics
  readonly stop: AbortController
  readonly clock: SuspendableClock
  readonly load: ScriptedLoad
  /** Resolves when the process has shut down. */
  completion: Promise<unknown>
}

/** Starts and stops processes, calls them, and checks the runs that workers recorded. */
export class EmulatedFleet {
  readonly clock = new FakeClock(1_700_000_000_000)
  readonly emulator: PlatformEmulator
  readonly nodes = new Map<string, EmulatedNode>()
  /** Duration (Infinity: doesn't complete by itself) and result of a task's runs, by task name; other runs are done after a second, unless their worker decides. */
  readonly outcomesByTask = new Map<string, { milliseconds: number, result: 'done' | 'failed' | 'crash' }>()
  /** The same of single runs, by `TASK/RUN`; they go before those by task. */
  readonly outcomesByRun = new Map<string, { milliseconds: number, result: 'done' | 'failed' | 'crash' }>()
  /** The same of all other runs on a worker, by its ID. */
  readonly outcomesByWorker = new Map<string, { milliseconds: number, result: 'done' | 'failed' | 'crash' }>()
  /** Whether the processes that are started next copy slow tasks. */
  copiesSlowTasks = true
  /** Limit on the backlog of the processes that are started next; null for the default. */
  maximumBacklogTasks: number | null = null
  private _version = 0
  /** Names of the submitted steps that allow copies, without their occurrence, with the first run of a task that may get one. */
  private readonly _speculativeSteps = new Map<string, number>()

  /** @param _maximumLeaseMilliseconds longest lease that workers grant, as the processes' settings have it. */
  constructor (private readonly _seed: number, private readonly _maximumLeaseMilliseconds = DEFAULT_MAXIMUM_LEASE_MILLISECONDS) {
    this.emulator = new PlatformEmulator(this.clock, (task, run, worker) => this.outcomesByRun.get(`${task}/${run}`) ?? this.outcomesByTask.get(task) ?? this.outcomesByWorker.get(worker) ?? { milliseconds: 1_000, result: 'done' })
    this.emulator.maximumLeaseMilliseconds = _maximumLeaseMilliseconds
  }

  /** Creates a configured fleet with workers and processes, and advances time until they have started. Without a standby pool all workers stay. */
  static async create (workers: number, nodes: readonly string[], seed = 1, hasStandby = true): Promise<EmulatedFleet> {
    const fleet = new EmulatedFleet(seed)
    for (let count = 0; count < workers; count++) fleet.emulator.addVirtualMachine('work', 'a')
    fleet.configure({ hasStandby })
    for (const name of nodes) fleet.start(name)
    await fleet.clock.advance(2_000)
    return fleet
  }

  /** Publishes a configuration with one pool, a standby pool, one queue and one team. */
  configure (overrides: { upperLimit?: number, advice?: boolean, routes?: object[], teams?: object[], services?: object[], keys?: string[], maximumAttempts?: number, hasStandby?: boolean, rejectsOverload?: boolean } = {}): void {
    this._version += 1
    const route = {
      name: 'queue',
      host: HOST,
      path_prefix: '/q/',
      service: 'work',
      target_latency_ms: 600,
      priority: 0,
      max_attempts: overrides.maximumAttempts ?? 3,
      stretch: 1.6,
      ...(overrides.advice ? { advice: { decide_ms: 20, period_ms: 5, valid_ms: 3_000 } } : {})
    }
    this.emulator.publish('config', {
      version: this._version,
      routes: [route, ...overrides.routes ?? []],
      services: [{ name: 'work', rejects_overload: overrides.rejectsOverload ?? true }, ...overrides.hasStandby === false ? [] : [{ name: 'standby', standby: true }], ...overrides.services ?? []],
      tenants: [{ name: 'team', api_keys: overrides.keys ?? [KEY], weight: 10, max_count: { cpu: overrides.upperLimit ?? 0, mem_mb: 0, gpus: 0 } }, ...overrides.teams ?? []],
      limits: { max_body_bytes: 262_144 }
    })
  }

  /**
   * Starts a process on a VM with the given resources.
   *
   * @param clockError error of the time of day at its start, in milliseconds.
   */
  start (name: string, virtualMachine: { processorShare?: number, linkMegabitsPerSecond?: number } = {}, clockError = 0): EmulatedNode {
    const { store, machines, advice } = this.emulator.addresses
    const settings = NodeSettings.parse({
      process: { id: name, availabilityZone: 'a' },
      listen: { callers: '127.0.0.1:1', readiness: '127.0.0.1:2', metrics: '127.0.0.1:3' },
      platform: { store, machines, advice },
      machine: virtualMachine,
      limits: { copiesSlowTasks: this.copiesSlowTasks, ...this.maximumBacklogTasks === null ? {} : { maximumBacklogTasks: this.maximumBacklogTasks } },
      bounds: {
        maximumLeaseMilliseconds: this._maximumLeaseMilliseconds, maximumCallDelayMilliseconds: 12_000, statusRetentionMilliseconds: 120_000, holderChangeMilliseconds: 3_000, moveMilliseconds: 1_500, maintenanceMilliseconds: 2_000
      }
    })
    const log = new RecordingDecisionLog()
    const metrics = new MemoryMetrics()
    const load = new ScriptedLoad()
    const clock = new SuspendableClock(this.clock, clockError)
    const tree = new NodeTree(settings, new EmulatorDialer(this.emulator, name, clock, () => clock.untilRunning()), clock, new SeededRandomSource(this._seed + this.nodes.size), metrics, log, load)
    const stop = new AbortController()
    this.emulator.faults.killedCallers.delete(name)
    const node = { tree, log, metrics, stop, clock, load, completion: tree.buildWithoutServers().run(stop.signal) }
    this.nodes.set(name, node)
    return node
  }

  /** Kills a process; none of its calls arrives from then on. */
  kill (name: string): void {
    this.emulator.faults.killedCallers.add(name)
    this.nodes.get(name)?.stop.abort()
    this.nodes.delete(name)
  }

  /** Shuts a process down gracefully and waits until it has shut down. */
  async shutDown (name: string): Promise<void> {
    const node = this.nodes.get(name)
    node?.stop.abort()
    await this.clock.advance(3_000)
    await node?.completion
    this.nodes.delete(name)
  }

  /** Submits a job to a process. */
  submit (...submission: Parameters<EmulatedFleet['send']>): Promise<JobResponse> {
    return this._awaitResponse(this.send(...submission))
  }

  /** Submits a job to a process without advancing time. */
  send (node: string, id: string, steps: readonly Partial<StepDefinition>[], options: { occurrences?: number, startAt?: number, intervalMilliseconds?: number } = {}, key = KEY, pathPrefix = '/q/'): Promise<JobResponse> {
    // A timed occurrence has to start once.
    const firstCopiedRun = options.startAt ? 2 : 1
    for (const [index, { isSpeculative, isGang, isFiller, isLasting }] of steps.entries()) if (isSpeculative && !isGang && !isFiller && !isLasting) this._speculativeSteps.set(`${id} ${index}`, firstCopiedRun)
    const job = { specification: 'text', steps: steps.map(step => ({ ...PLAIN_STEP, ...step })), occurrences: 1, startAt: 0, intervalMilliseconds: 0, ...options }
    return this._service(node).submit({ ...this._createRequest(node, id), key, path: `${pathPrefix}${id}` }, id, job)
  }

  /** Queries the state of a job at a process. */
  state (node: string, id: string): Promise<JobResponse> {
    return this._awaitResponse(this._service(node).state(this._createRequest(node, id), id))
  }

  /** Counts the pending jobs of the queue that tests use, at a process. */
  countPending (node: string): JobResponse {
    return this._service(node).countPending(this._createRequest(node, ''))
  }

  /** Requests cancellation of a job at a process. */
  cancel (node: string, id: string): Promise<JobResponse> {
    return this._awaitResponse(this._service(node).cancel(this._createRequest(node, id), id))
  }

  /** Name of the process that owns the journal: the one that began the last term. */
  owner (): string {
    const terms = [...this.nodes].flatMap(([name, { log }]) => log.fieldsOf('term begins').map(({ term }) => ({ name, term: Number(term) })))
    return terms.sort((left, right) => right.term - left.term)[0]?.name ?? ''
  }

  /** Name of a process that doesn't own the journal. */
  nonOwner (): string {
    const owner = this.owner()
    return [...this.nodes.keys()].find(name => name !== owner) ?? ''
  }

  /** Starts of a task on all incarnations of all workers. */
  starts (task: string): { worker: string, run: number, at: number }[] {
    return this.emulator.workerIncarnations.flatMap(({ id, starts }) => starts.filter(start => start.task === task).map(({ run, startedAt: at }) => ({ worker: id, run, at })))
  }

  /** Finds tasks with two runs at once, and runs started after an earlier run was done and its completion was acknowledged. */
  violations (): string[] {
    return runViolations(this.emulator.workerIncarnations, (task, run) => {
      const [job = '', , step = ''] = task.split('.')
      return run >= (this._speculativeSteps.get(`${job} ${step}`) ?? Infinity)
    })
  }

  private _service (node: string): NodeTree['service'] {
    const found = this.nodes.get(node)
    if (!found) throw new Error(`process ${node} is not running`)
    return found.tree.service
  }

  private _createRequest (node: string, id: string): { host: string, path: string, key: string, deadline: number } {
    return { host: HOST, path: `/q/${id}`, key: KEY, deadline: (this.nodes.get(node)?.clock ?? this.clock).now() + 3_000 }
  }

  /** Advances time until a response arrives, for at most four seconds. */
  private async _awaitResponse<T> (response: Promise<T>): Promise<T> {
    const progress = { isSettled: false }
    response.finally(() => { progress.isSettled = true }).catch(() => {})
    for (let elapsed = 0; !progress.isSettled && elapsed < 4_000; elapsed += 20) await this.clock.advance(20)
    return response
  }
}
