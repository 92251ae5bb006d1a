/**
 * Demand of the tasks of one pool.
 */
import type { Resources } from '../jobs/resources.js'
import { addResources } from '../placement/add-resources.js'
import { Arrivals } from './arrivals.js'
import type { PoolNeeds } from './pool-needs.js'

/** Window over which arrivals are counted, in milliseconds: shorter than a queue's burst of jobs, longer than the gap between two jobs of it. */
const ARRIVAL_WINDOW_MILLISECONDS = 500

/** Ratio of the rate of arrivals when a VM that is ordered now has joined the pool to the rate now, at the beginning of a burst. */
const BURST_GROWTH_RATIO = 3

/** Fraction of a worker's resources that tasks of uneven size can be expected to use. */
const EXPECTED_UTILIZATION = 0.85

const NO_RESOURCES: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** What a step's tasks are for; `lasting` ones run until they are cancelled. */
type DemandKind = 'lasting' | 'on-time' | 'late' | 'obsolete'

/** Sums up demand for one round of pool sizing. */
export class PoolDemand {
  /** Minimum number of workers for lasting steps. */
  minimumLastingWorkers = 0
  private readonly _byKind: Record<DemandKind, Resources> = { lasting: NO_RESOURCES, 'on-time': NO_RESOURCES, late: NO_RESOURCES, obsolete: NO_RESOURCES }
  private readonly _arrivals = new Arrivals()

  /** Whether there are neither lasting tasks nor others. */
  get isEmpty (): boolean {
    return Object.values(this._byKind).every(({ millicores, memoryMegabytes, accelerators }) => millicores + memoryMegabytes + accelerators === 0)
  }

  /** Demand of lasting tasks. */
  get lasting (): Resources {
    return this._byKind.lasting
  }

  /** Adds tasks of a step that wait or run, each with the resources that it reserves on its worker. */
  addTasks (kind: DemandKind, reservation: Resources, count: number): void {
    this._byKind[kind] = addResources(this._byKind[kind], reservation, count)
  }

  /**
   * Adds the whole work of a job if it arrived within the window.
   *
   * @param work resources times the milliseconds for which they are used.
   * @param age milliseconds since the submission.
   */
  addArrival (work: Resources, age: number): void {
    if (age <= ARRIVAL_WINDOW_MILLISECONDS) this._arrivals.add(work)
  }

  /**
   * Returns the numbers of workers that the pool needs. Moving a VM takes longer than running a task, and at the beginning of a burst the rate of arrivals still grows meanwhile.
   *
   * @param minimum number of workers that leaves the pool capacity beside its lasting tasks.
   * @param worker resources of one worker of the pool.
   */
  needs (minimum: number, worker: Resources): PoolNeeds {
    const { lasting, 'on-time': onTimeTasks, late, obsolete } = this._byKind
    const workers = (demand: Resources): number => Math.max(minimum, this._workersFor(demand, worker))
    const current = addResources(lasting, onTimeTasks)
    const onTime = workers(current)
    const growth = Math.max(onTime, workers(addResources(lasting, this._arrivals.totalWithoutLargest, BURST_GROWTH_RATIO / ARRIVAL_WINDOW_MILLISECONDS)))
    const withLate = Math.max(growth, workers(addResources(current, late)))
    return { onTime, growth, late: withLate, obsolete: Math.max(withLate, workers(addResources(addResources(current, late), obsolete))) }
  }

  /** Returns how many workers have the resources, by the one that takes the most workers. */
  private _workersFor (demand: Resources, worker: Resources): number {
    const shares = (['millicores', 'memoryMegabytes', 'accelerators'] as const).map(field => worker[field] === 0 ? 0 : demand[field] / (worker[field] * EXPECTED_UTILIZATION))
    return Math.ceil(Math.max(...shares))
  }
}
