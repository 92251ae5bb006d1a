/**
 * The current run of a task.
 */
import type { TaskProgress } from '../jobs/task-progress.js'
import type { FleetWorker } from '../workers/fleet-worker.js'

/**
 * State of the current run of a placed task. `inherited`: placed under an earlier term and not confirmed by its worker
 * yet; `intended`: the placement is being written to the journal; `starting`: the start order is in flight; `running`:
 * the worker accepted the order; `settling`: the outcome of the order is unknown and the run is being stopped;
 * `stopping`: a running run has been ordered to stop.
 */
type RunState = 'inherited' | 'intended' | 'starting' | 'running' | 'settling' | 'stopping'

/** What the owner knows of the current run of a task, or of the last one. */
export abstract class TaskRun {
  /** Number of the run; 0 before the first. */
  run: number
  /** Worker on which the task has a reservation, or null; an unlisted worker keeps its tasks until its lease has expired. */
  worker: FleetWorker | null = null
  /** ID and incarnation of the worker, as written to the journal. */
  workerId: string
  incarnation: number
  runState: RunState = 'inherited'
  /** Epoch milliseconds after which a report without the run proves that the run does not exist; Infinity while unknown. */
  confirmedAt = Infinity
  /**
   * Epoch milliseconds from which on evidence that the worker has ended counts for the current run: 0 if the run certainly began on the incarnation that is known, or never did, the time by which it had
   * begun if that may have been on the next one, Infinity while nothing tells whether and where it has begun. An incarnation that has ended says nothing of a run on the next one.
   */
  evidenceFrom: number
  /** Epoch milliseconds at which the call with the start order ended, or ends at the latest; 0 before it was sent, or if another owner sent it. */
  startCallEndsAt = 0
  /** Epoch milliseconds at which the start order of the current run was sent, or of the first report if another owner sent it; 0 before. */
  startOrderedAt = 0
  /** Fencing token of the start order of the current run; Infinity before it was sent, or if another owner sent it. */
  startToken = Infinity
  /** Reading of the worker's clock when the current run was decided on, in milliseconds; 0 if unknown, and for tasks that don't last. */
  placedAtClock: number
  /** Whether the start of the current run is no longer on its way: its worker has accepted it or has reported the run, or the journal says so. */
  isStarted: boolean
  /** Whether that incarnation of the worker has reported the current run, so that the run ends with it. */
  isReported: boolean
  /** Number of the current placement; 0 if an older version wrote it, or while the task has not been placed. */
  placementNumber: number
  /** Time for which the current run had been active when this owner first saw it, in milliseconds. */
  protected earlierMilliseconds = 0
  /** Progress or readiness that the worker last reported. */
  progressPercent = 0
  /** Load that the worker last reported: milliseconds of response time for a serving task, millicores in use for others. */
  load = 0
  /** Speed to which the task is throttled, as a percentage of full speed; null while unknown, because another owner may have throttled it, or an order has failed. */
  speedPercent: number | null = null
  /** Whether a stop order for the current run has been given. */
  isStopOrdered = false

  constructor (progress: TaskProgress | null) {
    this.run = progress?.run ?? 0
    this.workerId = progress?.worker ?? ''
    this.incarnation = progress?.incarnation ?? 0
    this.placedAtClock = progress?.placedAtClock ?? 0
    this.isStarted = progress?.isStarted ?? false
    this.isReported = progress?.isReported ?? false
    this.placementNumber = progress?.placementNumber ?? 0
    this.evidenceFrom = 0
  }

  /** Whether the current run has certainly begun: its worker accepted its start or has reported it. */
  get isConfirmed (): boolean {
    return this.runState === 'running' || this.runState === 'stopping'
  }

  /** Whether the start of the current run may have been sent, and nothing shows what has become of it: it may be carried out late. */
  get mayBeginLate (): boolean {
    return !this.isStarted && (this.runState === 'settling' || this.runState === 'starting' || this.runState === 'inherited')
  }

  /** Epoch milliseconds from which on no stop of another owner reaches the current run: that of the first report to this owner; 0 if this owner has started it, Infinity before that report. */
  get otherStopsOverAt (): number {
    if (this.startToken < Infinity) return 0
    return this.startOrderedAt === 0 ? Infinity : this.startOrderedAt
  }

  /** Begins another run; nothing of it has been sent yet. */
  protected resetRun (worker: FleetWorker, run: number, placementNumber: number, placedAtClock: number): void {
    this.run = run
    this.placementNumber = placementNumber
    this.workerId = worker.entry.id
    this.incarnation = worker.entry.incarnation
    this.placedAtClock = placedAtClock
    this.isStarted = false
    this.isReported = false
    this.runState = 'intended'
    this.confirmedAt = Infinity
    this.evidenceFrom = Infinity
    this.startCallEndsAt = 0
    this.startOrderedAt = 0
    this.startToken = Infinity
    this.earlierMilliseconds = 0
    this.progressPercent = 0
    this.speedPercent = 100
    this.isStopOrdered = false
  }
}
