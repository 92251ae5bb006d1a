/**
 * The pools of a fleet that is disturbed, and their lasting tasks.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { EmulatedFleet } from '../emulated-fleet.js'
import { JOB_NAMES } from './job-names.js'
import type { PlannedMachine } from './planned-machine.js'

/** Host of the pools' queues. */
const HOST = 'fleet.example'

/** Pool that each configuration has. */
const FIRST_POOL = 'work'

/** Demand of a lasting task: a worker has room for one of them at first, and for several later. */
const TASK_MILLICORES = 40_000
const LATER_CAPACITY = { cpu: 640_000, mem_mb: 131_072 }

/** Resources of a worker that has room for as many other tasks as well. */
const LARGEST_CAPACITY = { cpu: 1_920_000, mem_mb: 131_072 }

/** Adds VMs such that the registry lists their workers in the order in which they are planned, configures a queue for each pool, and submits a job of lasting tasks to it. */
export class DisturbedPools {
  private readonly _names: readonly string[]
  private readonly _workers = new Map<PlannedMachine, EmulatedWorker>()

  constructor (private readonly _fleet: EmulatedFleet, private readonly _machines: readonly PlannedMachine[]) {
    this._names = [...new Set(_machines.map(({ pool }) => pool))]
    if (this._names.length > JOB_NAMES.lasting.length) throw new Error('too many pools')
    for (const machine of this._inOrderOfCreation()) {
      const worker = _fleet.emulator.addVirtualMachine(machine.pool, machine.zone, machine.rack)
      if (!worker) continue
      worker.clockRate = machine.clockRate
      this._workers.set(machine, worker)
    }
    const others = this._names.filter(name => name !== FIRST_POOL)
    _fleet.configure({
      hasStandby: false,
      services: others.map(name => ({ name, rejects_overload: true })),
      routes: others.map(name => ({ name: `queue-${name}`, host: HOST, path_prefix: this._pathPrefix(name), service: name, target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 }))
    })
  }

  get workers (): ReadonlyMap<PlannedMachine, EmulatedWorker> {
    return this._workers
  }

  /** Submits as many lasting tasks to each pool as it has workers. */
  submitLastingTasks (process: string): Promise<void> {
    return this._submit(process, JOB_NAMES.lasting, true)
  }

  /** Submits as many tasks that don't last, but go on until the end of a series, and makes room for them. */
  submitOtherTasks (process: string): Promise<void> {
    for (const worker of this._workers.values()) this._fleet.emulator.resize(worker, LARGEST_CAPACITY)
    return this._submit(process, JOB_NAMES.others, false)
  }

  /** Lets each worker take more tasks; each has to run one. */
  makeRoom (): void {
    for (const worker of this._fleet.emulator.workerIncarnations) {
      if (worker.running.length !== 1) throw new Error(`worker ${worker.id} runs ${worker.running.length} tasks`)
      this._fleet.emulator.resize(worker, LATER_CAPACITY)
    }
  }

  /** Submits a job to each pool, of as many tasks as it has workers. */
  private async _submit (process: string, jobs: readonly string[], isLasting: boolean): Promise<void> {
    for (const [index, pool] of this._names.entries()) {
      const job = jobs[index] ?? ''
      const count = this._machines.filter(machine => machine.pool === pool).length
      for (let task = 0; task < count; task++) this._fleet.outcomesByTask.set(`${job}.0.0.${task}`, { milliseconds: Infinity, result: 'done' })
      const demand = { millicores: TASK_MILLICORES, memoryMegabytes: 1_000, accelerators: 0 }
      await this._fleet.submit(process, job, [{ count, demand, isLasting }], {}, undefined, this._pathPrefix(pool))
    }
  }

  /** Workers are numbered in the order in which they are created, and listed in the order of their IDs as text. */
  private _inOrderOfCreation (): PlannedMachine[] {
    const numbers = this._machines.map((_machine, index) => String(index + 1))
    const listedNumbers = [...numbers].sort()
    return numbers.flatMap(number => this._machines[listedNumbers.indexOf(number)] ?? [])
  }

  private _pathPrefix (pool: string): string {
    return pool === FIRST_POOL ? '/q/' : `/${pool}/`
  }
}
