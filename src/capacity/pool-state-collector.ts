/**
 * What the pools' sizes are decided from.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import type { ScheduledJob } from '../scheduling/scheduled-job.js'
import type { ScheduledStep } from '../scheduling/scheduled-step.js'
import type { WorkerTable } from '../scheduling/worker-table.js'
import type { InventoryTask } from './inventory-task.js'
import { PoolDemand } from './pool-demand.js'
import type { PoolSituation } from './pool-state.js'
import type { PoolCapacity } from './pool-capacity.js'

/** Sums up what each pool has and wants. */
export class PoolStateCollector {
  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _jobs: ScheduledJobTable, private readonly _roster: WorkerTable,
    private readonly _inventory: InventoryTask, private readonly _strength: PoolCapacity
  ) {}

  /**
   * The pools that take work.
   *
   * @param moves under way, by VM.
   */
  of (moves: ReadonlyMap<string, { readonly to: string }>, now: number): PoolSituation[] {
    const demands = this._demands(now)
    const sizes = this._strength.count(moves, now)
    const pools = this._configuration.configuration?.pools ?? []
    return pools.filter(({ isStandby }) => !isStandby).map(({ name }): PoolSituation => {
      const demand = demands.get(name) ?? new PoolDemand()
      const inUse = this._workersWithLastingTasks(name)
      const workerMillicores = this._workerMillicores(name)
      const lastingWorkers = Math.max(demand.lastingSpread, inUse)
      // Jobs that come between the turns find room beside the lasting tasks, or on one more worker.
      const hasRoomBeside = lastingWorkers * workerMillicores - demand.lastingMillicores >= workerMillicores
      return {
        name,
        size: sizes.get(name) ?? 0,
        floor: lastingWorkers + (hasRoomBeside ? 0 : 1),
        isDispensable: inUse === 0 && demand.lastingSpread === 0 && demand.presentMillicores === 0,
        wantedMillicores: demand.wantedMillicores,
        workerMillicores
      }
    })
  }

  private _demands (now: number): Map<string, PoolDemand> {
    const demands = new Map<string, PoolDemand>()
    for (const job of this._jobs.active) {
      const pool = this._configuration.queue(job.view.submission.queue)?.pool
      if (pool === undefined) continue
      const demand = demands.get(pool) ?? new PoolDemand()
      demands.set(pool, demand)
      for (const step of job.steps) if (!step.isDone && step.dueAt <= now && step.isUnblocked) this._add(demand, step, now)
      const { submittedAt, occurrences } = job.view.submission
      if (!job.isLasting && occurrences === 1) demand.arrive(this._work(job), now - submittedAt)
    }
    return demands
  }

  private _add (demand: PoolDemand, step: ScheduledStep, now: number): void {
    const { isLasting, maximumPerWorker, count } = step.definition
    const [task] = step.tasks
    if (!task) return
    demand.add({
      room: task.reservation,
      count: step.tasks.filter(({ phase }) => phase === 'waiting' || phase === 'placed').length,
      isLate: this._isLate(step, now),
      isLasting,
      spread: maximumPerWorker === 0 ? 1 : Math.ceil(count / maximumPerWorker)
    })
  }

  /** A job's estimated work, in millicores times milliseconds. */
  private _work (job: ScheduledJob): number {
    return job.view.submission.steps.reduce((sum, { count, demand, estimateMilliseconds, isFiller }) => sum + (isFiller ? 0 : count * demand.millicores * estimateMilliseconds), 0)
  }

  private _workersWithLastingTasks (pool: string): number {
    return [...this._roster.all].filter(worker =>
      worker.entry.pool === pool && worker.isListed && [...worker.tasks].some(({ step }) => step.definition.isLasting)).length
  }

  private _workerMillicores (pool: string): number {
    const machines = [...this._inventory.machines]
    return (machines.find(machine => machine.pool === pool) ?? machines[0])?.capacity.millicores ?? 1
  }

  /** Whether the step's job is late whatever is done. */
  private _isLate (step: ScheduledStep, now: number): boolean {
    const queue = this._configuration.queue(step.job.view.submission.queue)
    if (!queue || step.definition.isLasting) return false
    return step.job.targetCompletionAt(step.occurrence, queue) - step.job.criticalPathMilliseconds(step) < now
  }
}
