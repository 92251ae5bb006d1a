/**
 * The pools of a fleet that is disturbed, and their lasting tasks.
 */
import type { EmulatedFleet } from '../emulated-fleet.js'
import type { PlannedMachine } from './planned-machine.js'

/** Host of the pools' queues. */
const HOST = 'fleet.example'

/** Pool that each configuration has. */
const FIRST_POOL = 'work'

/** Demand of a lasting task: a worker has room for one of them at first, and for several later. */
const TASK_MILLICORES = 40_000
const LATER_CAPACITY = { cpu: 640_000, mem_mb: 131_072 }

/** Names of the jobs, one for each pool. */
const JOBS = ['aaaa', 'bbbb', 'cccc', 'dddd']

/** Adds VMs such that the registry lists their workers in the order in which they are planned, configures a queue for each pool, and submits a job of lasting tasks to it. */
export class DisturbedPools {
  private readonly _names: readonly string[]

  constructor (private readonly _fleet: EmulatedFleet, private readonly _machines: readonly PlannedMachine[]) {
    this._names = [...new Set(_machines.map(({ pool }) => pool))]
    if (this._names.length > JOBS.length) throw new Error('too many pools')
    for (const { pool, zone, rack, clockRate } of this._inOrderOfCreation()) {
      const worker = _fleet.emulator.addVirtualMachine(pool, zone, rack)
      if (worker) worker.clockRate = clockRate
    }
    const others = this._names.filter(name => name !== FIRST_POOL)
    _fleet.configure({
      hasStandby: false,
      services: others.map(name => ({ name, rejects_overload: true })),
      routes: others.map(name => ({ name: `queue-${name}`, host: HOST, path_prefix: this._pathPrefix(name), service: name, target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 }))
    })
  }

  /** Submits as many lasting tasks to each pool as it has workers. */
  async submitLastingTasks (process: string): Promise<void> {
    for (const [index, pool] of this._names.entries()) {
      const job = JOBS[index] ?? ''
      const count = this._machines.filter(machine => machine.pool === pool).length
      for (let task = 0; task < count; task++) this._fleet.outcomesByTask.set(`${job}.0.0.${task}`, { milliseconds: Infinity, result: 'done' })
      const demand = { millicores: TASK_MILLICORES, memoryMegabytes: 1_000, accelerators: 0 }
      await this._fleet.submit(process, job, [{ count, demand, isLasting: true }], {}, undefined, this._pathPrefix(pool))
    }
  }

  /** Lets each worker take more tasks; each has to run one. */
  makeRoom (): void {
    for (const worker of this._fleet.emulator.workerIncarnations) {
      if (worker.running.length !== 1) throw new Error(`worker ${worker.id} runs ${worker.running.length} tasks`)
      this._fleet.emulator.resize(worker, LATER_CAPACITY)
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
