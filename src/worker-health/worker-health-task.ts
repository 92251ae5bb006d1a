/**
 * Decisions on the health of the workers.
 */
import { median } from '../jobs/median.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { WorkerTable } from '../workers/worker-table.js'
import type { HealthEvidence } from './health-evidence.js'
import { INITIAL_HEALTH } from './initial-health.js'
import type { VirtualMachineHistory } from './virtual-machine-history.js'
import type { VirtualMachineLookup } from './virtual-machine-lookup.js'
import type { WorkerHealth } from './worker-health.js'
import { WorkerHealthHistory } from './worker-health-history.js'
import type { WorkerHealthPolicy } from './worker-health-policy.js'

/** Time between two looks at what changes without an outcome, in milliseconds: ends of exclusions, pools that have shrunk, new workers on known VMs. */
const INTERVAL_MILLISECONDS = 250

/** Age up to which the totals of a pool are used, in milliseconds: adding them up takes a pass over its history. */
const MAXIMUM_TOTALS_AGE_MILLISECONDS = 1_000

/** Number of measured VMs from which on a pool's median says what is usual there. */
const MINIMUM_MEASURED_VIRTUAL_MACHINES = 3

/** Decayed numbers of runs that failed and were done in a pool. */
interface PoolTotals {
  readonly at: number
  readonly failed: number
  readonly done: number
}

/** Applies the policy after outcomes and periodically, and writes each worker's health to it, so that placement only reads it. */
export class WorkerHealthTask extends Task {
  override readonly name = 'worker-health'
  readonly history: WorkerHealthHistory
  private readonly _totalsByPool = new Map<string, PoolTotals>()

  constructor (
    private readonly _policy: WorkerHealthPolicy, virtualMachines: VirtualMachineLookup, private readonly _workers: WorkerTable, private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
    this.history = new WorkerHealthHistory(virtualMachines, _policy.retentionMilliseconds, history => this._decide(history), _clock)
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._refresh()
      await this._clock.sleepUntil(this._clock.now() + INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _refresh (): void {
    this.history.prune()
    for (const worker of this._workers.all) this.history.updatePool(worker)
    this.history.settleUnanswered()
    this._measureSlowdowns()
    const histories = [...this.history.all]
    for (const history of histories) this._decide(history)
    const excludedPools = new Set(histories.filter(({ health }) => health.state === 'excluded').map(({ pool }) => pool))
    for (const pool of excludedPools) this._readmit(pool, null)
    this._updateWorkers()
    for (const state of ['trusted', 'probation', 'excluded'] as const) this._metrics.setGauge('workers.health.level', [...this._workers.all].filter(({ isListed, health }) => isListed && health.state === state).length, state)
  }

  /** Decides on a VM, and on others of its pool that have to be readmitted if it is excluded. */
  private _decide (history: VirtualMachineHistory): void {
    if (history.isUnsuspicious) return
    const previous = history.health
    const evidence = this._evidence(history)
    history.health = this._policy.assess(evidence, previous, this._clock.now())
    if (history.health === previous) return
    if (history.health.state === 'excluded') this._readmit(history.pool, history)
    this._report(history, previous)
  }

  /** Puts the best of a pool's excluded VMs on probation if exclusions cost the pool too much. Does not report the VM that is being decided on. */
  private _readmit (pool: string, undecided: VirtualMachineHistory | null): void {
    const now = this._clock.now()
    const histories = new Map([...this.history.all].map(history => [history.virtualMachine, history]))
    const members = [...this._workers.all].filter(({ entry, isListed, isLeaving }) => isListed && !isLeaving && entry.pool === pool).map(worker => {
      const history = this.history.find(worker)
      const isExcluded = history?.health.state === 'excluded'
      return { virtualMachine: history?.virtualMachine ?? '', capacity: worker.entry.capacity, isExcluded, severity: history && isExcluded ? this._policy.severity(this._evidence(history), now) : 0 }
    })
    for (const virtualMachine of this._policy.readmissions(members)) {
      const history = histories.get(virtualMachine)
      if (!history) continue
      const previous = history.health
      history.health = this._policy.readmit(previous, now)
      if (history !== undecided) this._report(history, previous)
    }
  }

  private _evidence (history: VirtualMachineHistory): HealthEvidence {
    const now = this._clock.now()
    const failures = this.history.failureAttribution.attributable(history.failures.all, now)
    return {
      failures: failures.map(({ at, startedAt }) => ({ at, startedAt })),
      done: history.done.moments,
      losses: this.history.lossAttribution.attributable(history.virtualMachine).map(({ at }) => at),
      unanswered: history.unanswered.moments,
      answered: history.answered.moments,
      poolFailureRate: failures.length === 0 ? 0 : this._failureRateBeside(history, now),
      slowdown: history.slowdown
    }
  }

  /** Failure rate of the other VMs of a pool. */
  private _failureRateBeside (history: VirtualMachineHistory, now: number): number {
    const { pool } = history
    const known = this._totalsByPool.get(pool)
    const totals = known && known.at > now - MAXIMUM_TOTALS_AGE_MILLISECONDS ? known : this._addUp(pool, now)
    this._totalsByPool.set(pool, totals)
    const failed = Math.max(0, totals.failed - this._policy.decayedCount(history.failures.moments, now))
    const done = Math.max(0, totals.done - this._policy.decayedCount(history.done.moments, now))
    return failed === 0 ? 0 : failed / (failed + done)
  }

  private _addUp (pool: string, now: number): PoolTotals {
    const members = [...this.history.all].filter(history => history.pool === pool)
    const sum = (moments: (history: VirtualMachineHistory) => number[]): number => members.reduce((total, history) => total + this._policy.decayedCount(moments(history), now), 0)
    return { at: now, failed: sum(({ failures }) => failures.moments), done: sum(({ done }) => done.moments) }
  }

  private _measureSlowdowns (): void {
    const ratiosByPool = new Map<string, number[]>()
    const measured = [...this.history.all].map(history => ({ history, ratio: history.medianRatio }))
    for (const { history, ratio } of measured) if (ratio > 0) ratiosByPool.set(history.pool, [...ratiosByPool.get(history.pool) ?? [], ratio])
    const usualByPool = new Map([...ratiosByPool].map(([pool, ratios]) => [pool, ratios.length >= MINIMUM_MEASURED_VIRTUAL_MACHINES ? median(ratios) : 0]))
    for (const { history, ratio } of measured) {
      const usual = usualByPool.get(history.pool) ?? 0
      history.slowdown = usual > 0 ? ratio / usual : 0
    }
  }

  private _updateWorkers (): void {
    for (const worker of this._workers.all) worker.health = this.history.find(worker)?.health ?? INITIAL_HEALTH
  }

  /** Logs and counts a change of state with the inputs that determined it. */
  private _report (history: VirtualMachineHistory, previous: WorkerHealth): void {
    const { health, virtualMachine, pool } = history
    if (health.state === previous.state && health.isSlow === previous.isSlow) return
    const evidence = this._evidence(history)
    this._updateWorkers()
    if (health.state === 'excluded') this._metrics.count('workers.exclusions', 1, health.reason)
    this._log.emit('worker health changed', {
      virtualMachine,
      workers: [...this._workers.all].filter(worker => this.history.find(worker) === history).map(({ entry }) => entry.id),
      pool,
      from: previous.state,
      to: health.state,
      reason: health.reason === 'none' ? previous.reason : health.reason,
      until: health.until === Infinity ? 0 : Math.round(health.until),
      exclusions: health.exclusions,
      failures: evidence.failures.length,
      failuresOfTasks: history.failures.all.length - evidence.failures.length,
      done: evidence.done.length,
      losses: evidence.losses.length,
      unanswered: evidence.unanswered.length,
      poolFailureRate: Number(evidence.poolFailureRate.toFixed(2)),
      slowdown: Number(evidence.slowdown.toFixed(2)),
      isSlow: health.isSlow
    })
  }
}
