/**
 * Whole processes of the system against the platform's emulator, on a clock driven by hand.
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
import { SuspendableClock } from './suspendable-clock.js'

/** Host, prefix and key of the queue that tests use. */
const HOST = 'fleet.example'
const KEY = 'key-of-team'

/** A process under test. */
interface Node {
  readonly tree: NodeTree
  readonly log: RecordingDecisionLog
  readonly stop: AbortController
  readonly clock: SuspendableClock
  ended: Promise<unknown>
}

/** Builds the fleet, drives it, and checks what workers saw. */
export class EmulatedFleet {
  readonly clock = new FakeClock(1_700_000_000_000)
  readonly emulator: PlatformEmulator
  readonly nodes = new Map<string, Node>()
  /** Fate by task name; a task without an entry is done after a second, or lasts. */
  readonly outcomesByTask = new Map<string, { milliseconds: number, result: 'done' | 'failed' }>()
  private _version = 0

  constructor (private readonly _seed: number) {
    this.emulator = new PlatformEmulator(this.clock, task => this.outcomesByTask.get(task) ?? { milliseconds: 1_000, result: 'done' })
  }

  /** A configured fleet with some workers and processes, past its start. */
  static async create (workers: number, nodes: readonly string[], seed = 1): Promise<EmulatedFleet> {
    const fleet = new EmulatedFleet(seed)
    for (let count = 0; count < workers; count++) fleet.emulator.addVirtualMachine('work', 'a')
    fleet.configure()
    for (const name of nodes) fleet.start(name)
    await fleet.clock.advance(2_000)
    return fleet
  }

  /** Publishes a configuration with one pool of work, a standby pool and one team. */
  configure (change: { upperLimit?: number, advice?: boolean, routes?: object[], keys?: string[], maximumAttempts?: number, hasStandby?: boolean } = {}): void {
    this._version += 1
    const route = {
      name: 'queue',
      host: HOST,
      path_prefix: '/q/',
      service: 'work',
      target_latency_ms: 600,
      priority: 0,
      max_attempts: change.maximumAttempts ?? 3,
      stretch: 1.6,
      ...(change.advice ? { advice: { decide_ms: 20, period_ms: 5, valid_ms: 3_000 } } : {})
    }
    this.emulator.publish('config', {
      version: this._version,
      routes: [route, ...change.routes ?? []],
      services: [{ name: 'work' }, ...change.hasStandby === false ? [] : [{ name: 'standby', standby: true }]],
      tenants: [{ name: 'team', api_keys: change.keys ?? [KEY], weight: 10, max_count: { cpu: change.upperLimit ?? 0, mem_mb: 0, gpus: 0 } }],
      limits: { max_body_bytes: 262_144 }
    })
  }

  /** Starts a process on a VM of some size. */
  start (name: string, machine: { processorShare?: number, linkMegabitsPerSecond?: number } = {}): Node {
    const { store, machines, advice } = this.emulator.addresses
    const settings = NodeSettings.parse({
      process: { id: name, availabilityZone: 'a' },
      listen: { callers: '127.0.0.1:1', readiness: '127.0.0.1:2', metrics: '127.0.0.1:3' },
      platform: { store, machines, advice },
      machine,
      bounds: {
        maximumLeaseMilliseconds: 6_000, statusRetentionMilliseconds: 120_000, holderChangeMilliseconds: 3_000, moveMilliseconds: 1_500, maintenanceMilliseconds: 2_000
      }
    })
    const log = new RecordingDecisionLog()
    const clock = new SuspendableClock(this.clock)
    const tree = new NodeTree(settings, new EmulatorDialer(this.emulator, name, clock), clock, new SeededRandomSource(this._seed + this.nodes.size), new MemoryMetrics(), log)
    const stop = new AbortController()
    const node = { tree, log, stop, clock, ended: tree.buildWithoutServers().run(stop.signal) }
    this.emulator.faults.killedCallers.delete(name)
    this.nodes.set(name, node)
    return node
  }

  /** Kills a process: nothing of it arrives anywhere any more. */
  kill (name: string): void {
    this.emulator.faults.killedCallers.add(name)
    this.nodes.get(name)?.stop.abort()
    this.nodes.delete(name)
  }

  /** Stops a process in good order and waits for its end. */
  async shutDown (name: string): Promise<void> {
    const node = this.nodes.get(name)
    node?.stop.abort()
    await this.clock.advance(3_000)
    await node?.ended
    this.nodes.delete(name)
  }

  /** Submits a job at a process. */
  submit (node: string, id: string, steps: readonly Partial<StepDefinition>[], more: { occurrences?: number, startAt?: number, intervalMilliseconds?: number } = {}): Promise<JobResponse> {
    const job = { specification: 'text', steps: steps.map(step => ({ ...PLAIN_STEP, ...step })), occurrences: 1, startAt: 0, intervalMilliseconds: 0, ...more }
    return this._wait(this._service(node).submit(this._call(id), id, job))
  }

  /** State as a process tells it. */
  state (node: string, id: string): Promise<JobResponse> {
    return this._wait(this._service(node).state(this._call(id), id))
  }

  /** Cancels at a process. */
  cancel (node: string, id: string): Promise<JobResponse> {
    return this._wait(this._service(node).cancel(this._call(id), id))
  }

  /** Name of the process that owns the journal, as the last one to begin a term. */
  owner (): string {
    const terms = [...this.nodes].flatMap(([name, { log }]) => log.fieldsOf('term begins').map(({ term }) => ({ name, term: Number(term) })))
    return terms.sort((left, right) => right.term - left.term)[0]?.name ?? ''
  }

  /** Name of a process that doesn't own the journal. */
  nonOwner (): string {
    const owner = this.owner()
    return [...this.nodes.keys()].find(name => name !== owner) ?? ''
  }

  /** Starts of a task, over all lives of workers. */
  starts (task: string): { worker: string, run: number, at: number }[] {
    return this.emulator.workerIncarnations.flatMap(({ id, starts }) => starts.filter(start => start.task === task).map(({ run, startedAt: at }) => ({ worker: id, run, at })))
  }

  /** What the workers saw that must never be: two runs of a task at once, or a start after an acknowledged end as done. */
  violations (): string[] {
    return runViolations(this.emulator.workerIncarnations)
  }

  private _service (node: string): NodeTree['service'] {
    const found = this.nodes.get(node)
    if (!found) throw new Error(`no process ${node}`)
    return found.tree.service
  }

  private _call (id: string): { host: string, path: string, key: string, deadline: number } {
    return { host: HOST, path: `/q/${id}`, key: KEY, deadline: this.clock.now() + 3_000 }
  }

  /** Lets time pass until an answer is there. */
  private async _wait<T> (answer: Promise<T>): Promise<T> {
    const state = { isThere: false }
    answer.finally(() => { state.isThere = true }).catch(() => {})
    for (let waited = 0; !state.isThere && waited < 4_000; waited += 20) await this.clock.advance(20)
    return answer
  }
}
