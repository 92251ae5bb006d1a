/**
 * What is remembered of the runs on one VM.
 */
import { median } from '../jobs/median.js'
import { INITIAL_HEALTH } from './initial-health.js'
import { RecentEvents } from './recent-events.js'
import type { RunFailure } from './run-failure.js'
import type { WorkerHealth } from './worker-health.js'

/** Number of runs from which on their durations count. */
const MINIMUM_MEASURED_RUNS = 8

/** Number of runs whose durations count. */
const MAXIMUM_MEASURED_RUNS = 16

interface Moment {
  readonly at: number
}

/** Recent outcomes on a VM and the health that follows from them. */
export class VirtualMachineHistory {
  health: WorkerHealth = INITIAL_HEALTH
  readonly failures = new RecentEvents<RunFailure>()
  readonly done = new RecentEvents<Moment>()
  readonly unanswered = new RecentEvents<Moment>()
  readonly answered = new RecentEvents<Moment>()
  /** Its median ratio of duration to estimate, divided by that of its pool; 0 if unknown. */
  slowdown = 0
  /** Epoch milliseconds of the last unplanned end of its worker, and that worker's ID and incarnation. */
  lostAt = 0
  lostIncarnation = ''
  private _ratios: (Moment & { readonly ratio: number })[] = []

  /** @param pool pool of its present or last worker. */
  constructor (readonly virtualMachine: string, public pool: string) {}

  /** Epoch milliseconds of the newest outcome, or of the last change of state; 0 for none. */
  get latestAt (): number {
    return Math.max(this.failures.latestAt, this.done.latestAt, this.unanswered.latestAt, this.answered.latestAt, this.lostAt, this.health.since)
  }

  /** Whether nothing speaks against it, so that there is nothing to decide. */
  get isUnsuspicious (): boolean {
    return this.health.state === 'trusted' && !this.health.isSlow && this.slowdown <= 1 && this.lostAt === 0 && this.failures.latestAt === 0 && this.unanswered.latestAt === 0
  }

  /** Median ratio of the duration of recent runs to their estimates; 0 if there are too few. */
  get medianRatio (): number {
    return this._ratios.length < MINIMUM_MEASURED_RUNS ? 0 : median(this._ratios.map(({ ratio }) => ratio))
  }

  recordRatio (at: number, ratio: number): void {
    this._ratios = [...this._ratios, { at, ratio }].slice(-MAXIMUM_MEASURED_RUNS)
  }

  /** Moves to another pool, whose runs have other durations. */
  changePool (pool: string): void {
    this.pool = pool
    this.slowdown = 0
    this._ratios = []
  }

  /** Drops the outcomes before `start` (epoch milliseconds). */
  dropBefore (start: number): void {
    if (this.lostAt < start) this.lostAt = 0
    for (const events of [this.failures, this.done, this.unanswered, this.answered]) events.dropBefore(start)
    if ((this._ratios[0]?.at ?? Infinity) < start) this._ratios = this._ratios.filter(({ at }) => at >= start)
  }
}
