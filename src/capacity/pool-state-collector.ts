/**
 * Collects the input of the pool sizing for all pools.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobQueue } from '../configuration/job-queue.js'
import type { Resources } from '../jobs/resources.js'
import { addResources } from '../placement/add-resources.js'
import { fitsWithin } from '../placement/fits-within.js'
import type { TeamUsage } from '../placement/team-usage.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import type { ScheduledJob } from '../scheduling/scheduled-job.js'
import type { ScheduledStep } from '../scheduling/scheduled-step.js'
import { workUsefulness } from '../scheduling/work-usefulness.js'
import type { WorkerTable } from '../workers/worker-table.js'
import type { FleetState } from './fleet-state.js'
import type { InventoryTask } from './inventory-task.js'
import type { PoolCapacity } from './pool-capacity.js'
import { PoolDemand } from './pool-demand.js'
import type { PoolState } from './pool-state.js'
import { TeamAllowances } from './team-allowances.js'

const NO_RESOURCES: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** A step of which tasks may run now. */
interface ActiveStep {
  readonly step: ScheduledStep
  readonly pool: string
  readonly kind: 'lasting' | ReturnType<typeof workUsefulness>
}

/** Order in which the tasks of a team take what its upper limit leaves. */
const KIND_RANKS = { lasting: 0, 'on-time': 1, late: 2, obsolete: 3 } as const

/** Sums up the capacity and demand of each pool. */
export class PoolStateCollector {
  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _jobs: ScheduledJobTable, private readonly _usage: TeamUsage, private readonly _workers: WorkerTable,
    private readonly _inventory: InventoryTask, private readonly _capacity: PoolCapacity
  ) {}

  /**
   * Returns the states of all pools.
   *
   * @param moves moves in progress, by VM.
   */
  collect (moves: ReadonlyMap<string, { readonly to: string }>, now: number): FleetState {
    const demands = this._demands(this._largestCapacity(), now)
    const sizes = this._capacity.count(moves, now)
    const pools = this._configuration.configuration?.pools ?? []
    return {
      pools: pools.filter(({ isStandby }) => !isStandby).map(({ name }) => this._poolState(name, sizes.get(name) ?? 0, demands.get(name) ?? new PoolDemand())),
      standbySize: pools.filter(({ isStandby }) => isStandby).reduce((sum, { name }) => sum + this._capacity.countStandby(name, moves), 0)
    }
  }

  private _poolState (name: string, size: number, demand: PoolDemand): PoolState {
    const lastingWorkersInUse = this._workersWithLastingTasks(name)
    const worker = this._workerCapacity(name)
    const lastingWorkers = Math.max(demand.minimumLastingWorkers, lastingWorkersInUse)
    // Jobs that arrive between bursts need a whole worker's capacity beside the lasting tasks, or one more worker.
    const hasSpareCapacity = fitsWithin(worker, addResources(this._times(worker, lastingWorkers), demand.lasting, -1))
    return { name, size, isIdle: lastingWorkersInUse === 0 && demand.isEmpty, needs: demand.needs(lastingWorkers + (hasSpareCapacity ? 0 : 1), worker) }
  }

  /** Sums up the demand of the tasks that fit on the largest VM and that their teams may have running: no number of VMs helps the others. */
  private _demands (largest: Resources, now: number): Map<string, PoolDemand> {
    const demands = new Map<string, PoolDemand>()
    const demandOf = (pool: string): PoolDemand => {
      const demand = demands.get(pool) ?? new PoolDemand()
      demands.set(pool, demand)
      return demand
    }
    const activeSteps: ActiveStep[] = []
    for (const job of this._jobs.active) {
      const queue = this._configuration.queueOf(job.view.submission)
      if (!queue) continue
      for (const step of job.steps) {
        if (step.isOpen && !step.isDone && step.dueAt <= now && step.isUnblocked && fitsWithin(step.definition.demand, largest)) activeSteps.push({ step, pool: queue.pool, kind: this._kindOf(step, queue, now) })
      }
      if (!job.isLasting && job.view.submission.occurrences === 1) demandOf(queue.pool).addArrival(this._estimatedWork(job, largest), now - job.submittedAt)
    }
    const allowances = new TeamAllowances(this._configuration, this._usage)
    activeSteps.sort((left, right) => KIND_RANKS[left.kind] - KIND_RANKS[right.kind])
    for (const activeStep of activeSteps) this._addStep(demandOf(activeStep.pool), activeStep, allowances)
    return demands
  }

  private _kindOf (step: ScheduledStep, queue: JobQueue, now: number): ActiveStep['kind'] {
    if (step.definition.isLasting) return 'lasting'
    const usefulness = workUsefulness(step, queue, now)
    // Obsolete work gets no further VMs, but a gang runs only if there is room for all of it.
    return usefulness === 'obsolete' && step.definition.isGang ? 'late' : usefulness
  }

  private _addStep (demand: PoolDemand, { step, kind }: ActiveStep, allowances: TeamAllowances): void {
    const { maximumPerWorker, count } = step.definition
    const [task] = step.tasks
    if (!task) return
    const placed = step.tasks.filter(({ phase }) => phase === 'placed').length
    const startable = allowances.take(step.job.view.submission.team, step.definition.demand, step.waitingTasks.length)
    demand.addTasks(kind, task.reservation, placed + startable)
    if (kind === 'lasting') demand.minimumLastingWorkers = Math.max(demand.minimumLastingWorkers, maximumPerWorker === 0 ? 1 : Math.ceil(count / maximumPerWorker))
  }

  /** A job's estimated work, in resources times milliseconds. */
  private _estimatedWork (job: ScheduledJob, largest: Resources): Resources {
    return job.view.submission.steps.filter(({ demand, isFiller }) => !isFiller && fitsWithin(demand, largest))
      .reduce((sum, { count, demand, estimateMilliseconds }) => addResources(sum, demand, count * estimateMilliseconds), NO_RESOURCES)
  }

  private _workersWithLastingTasks (pool: string): number {
    return [...this._workers.all].filter(worker =>
      worker.entry.pool === pool && worker.isListed && [...worker.tasks].some(({ step }) => step.definition.isLasting)).length
  }

  private _workerCapacity (pool: string): Resources {
    const virtualMachines = [...this._inventory.virtualMachines]
    return (virtualMachines.find(virtualMachine => virtualMachine.pool === pool) ?? virtualMachines[0])?.capacity ?? { ...NO_RESOURCES, millicores: 1 }
  }

  /** Largest amount of each resource that a VM has. */
  private _largestCapacity (): Resources {
    return [...this._inventory.virtualMachines].reduce((largest, { capacity }) => ({
      millicores: Math.max(largest.millicores, capacity.millicores),
      memoryMegabytes: Math.max(largest.memoryMegabytes, capacity.memoryMegabytes),
      accelerators: Math.max(largest.accelerators, capacity.accelerators)
    }), NO_RESOURCES)
  }

  private _times (resources: Resources, factor: number): Resources {
    return addResources(NO_RESOURCES, resources, factor)
  }
}
