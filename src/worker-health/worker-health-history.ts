/**
 * The owner's history of the workers' health.
 */
import type { AttributedCrash } from '../crashes/attributed-crash.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { Clock } from '../supervision/clock.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { WorkerReport } from '../workers/worker-report.js'
import { FailedTaskTable } from './failed-task-table.js'
import { FailureAttribution } from './failure-attribution.js'
import { LossAttribution } from './loss-attribution.js'
import { durationRatio } from './run-duration.js'
import { RunOutcomeObserver } from './run-outcome-observer.js'
import { VirtualMachineHistory } from './virtual-machine-history.js'
import type { VirtualMachineLookup } from './virtual-machine-lookup.js'

/** Time within which several starts without a response count once, in milliseconds: one gap of a link may swallow all that are sent in it. */
const UNANSWERED_INTERVAL_MILLISECONDS = 1_000

/** Time for which other workers go before one with two failures in a row, in milliseconds: most tasks have been tried elsewhere by then. */
const AVOIDANCE_MILLISECONDS = 4_000

/** Time for which the next report of such a worker is awaited, in milliseconds: longer than a worker delays it. */
const SETTLING_MILLISECONDS = 5_000

/** A start without a response. */
interface UnansweredStart {
  readonly worker: FleetWorker
  readonly incarnation: number
  /** Epoch milliseconds at which it was sent, and from which on a response no longer counted. */
  readonly sentAt: number
  readonly at: number
}

/** Keeps recent outcomes by VM, in this owner's memory, so that a worker that returns on its VM is recognized whatever its ID. */
export class WorkerHealthHistory extends RunOutcomeObserver {
  readonly failureAttribution: FailureAttribution
  readonly lossAttribution: LossAttribution
  /** Where tasks have failed, which is kept apart from the history of the VMs: it holds whatever caused the failure. */
  readonly failedTasks = new FailedTaskTable()
  private _unsettled: UnansweredStart[] = []
  private readonly _histories = new Map<string, VirtualMachineHistory>()

  /**
   * @param _retentionMilliseconds time for which outcomes count.
   * @param _onEvidence called with a VM after an outcome that may change its health.
   */
  constructor (private readonly _virtualMachines: VirtualMachineLookup, private readonly _retentionMilliseconds: number, private readonly _onEvidence: (history: VirtualMachineHistory) => void, private readonly _clock: Clock) {
    super()
    this.failureAttribution = new FailureAttribution(_retentionMilliseconds)
    this.lossAttribution = new LossAttribution(_retentionMilliseconds)
  }

  get all (): IterableIterator<VirtualMachineHistory> {
    return this._histories.values()
  }

  override runCompleted (worker: FleetWorker, task: ScheduledTask, { run, result }: WorkerReport['ended'][number], heardAt: number): void {
    if (result !== 'done' && result !== 'failed') return
    const now = this._clock.now()
    if (result === 'failed') this.failedTasks.record(task.name, worker.entry.id, now)
    else this.failedTasks.forget(task.name)
    const history = this._historyOf(worker)
    if (!history) return
    const kind = this._kindOf(task)
    const isCurrentRun = task.worker === worker && task.run === run
    if (result === 'failed') {
      const startedAt = isCurrentRun && task.startToken !== Infinity ? task.startOrderedAt : 0
      const failure = { at: now, startedAt, task: task.name, kind, virtualMachine: history.virtualMachine, isDoneElsewhere: false }
      this.failureAttribution.recordFailure(failure)
      // The others go first from the second failure in a row on; that costs no capacity, so it needn't wait for the cause to be known.
      if (history.failures.latestAt > history.done.latestAt) worker.avoidedUntil = Math.max(worker.avoidedUntil, now + AVOIDANCE_MILLISECONDS)
      history.failures.add(failure)
      this._onEvidence(history)
      return
    }
    history.done.add({ at: now })
    const ratio = isCurrentRun ? durationRatio(task, heardAt, now) : 0
    if (ratio > 0) history.recordRatio(now, ratio)
    for (const other of this.failureAttribution.recordDone(task.name, kind, history.virtualMachine, now)) {
      const failed = this._histories.get(other)
      if (failed) this._onEvidence(failed)
    }
    if (history.health.state === 'probation') this._onEvidence(history)
  }

  override workerLost (worker: FleetWorker, crashes: readonly AttributedCrash[]): void {
    const now = this._clock.now()
    const history = this._historyOf(worker)
    const incarnation = `${worker.entry.id}/${worker.entry.incarnation}`
    if (!history || history.lostIncarnation === incarnation) return
    history.lostAt = now
    history.lostIncarnation = incarnation
    const { virtualMachine } = history
    const kinds = crashes.filter(({ role }) => role !== 'bystander').map(({ task }) => this._kindOf(task))
    // Tasks of a kind that is done elsewhere don't crash their workers.
    const suspects = [...new Set(kinds)].filter(kind => !this.failureAttribution.isDoneElsewhere(kind, virtualMachine, now))
    this.lossAttribution.record({ at: now, virtualMachine, availabilityZone: worker.entry.availabilityZone, rack: worker.rack, suspects })
    this._onEvidence(history)
  }

  override startAccepted (worker: FleetWorker): void {
    this._historyOf(worker)?.answered.add({ at: this._clock.now() })
  }

  override startUnanswered (worker: FleetWorker, sentAt: number): void {
    const now = this._clock.now()
    const isCounted = this._unsettled.some(other => other.worker === worker && other.at > now - UNANSWERED_INTERVAL_MILLISECONDS)
    if (!isCounted) this._unsettled.push({ worker, incarnation: worker.entry.incarnation, sentAt, at: now })
  }

  /** Counts the starts without a response whose worker has reported since without a failed call in between; the others' workers may only have been silent. */
  settleUnanswered (): void {
    const earliest = this._clock.now() - SETTLING_MILLISECONDS
    const waiting: UnansweredStart[] = []
    for (const start of this._unsettled) {
      const { worker, incarnation, sentAt, at } = start
      if (worker.failedCallAt >= sentAt || worker.entry.incarnation !== incarnation || at < earliest) continue
      const history = worker.lastReportAt > at ? this._historyOf(worker) : null
      if (!history) waiting.push(start)
      else if (history.unanswered.latestAt <= at - UNANSWERED_INTERVAL_MILLISECONDS) {
        history.unanswered.add({ at })
        this._onEvidence(history)
      }
    }
    this._unsettled = waiting
  }

  /** Returns the history of the VM of a worker, or null. */
  find ({ entry }: FleetWorker): VirtualMachineHistory | null {
    return this._histories.get(this._virtualMachines.virtualMachineOf(entry.id)) ?? null
  }

  /** Notes that the VM of a listed worker may have been moved to another pool. */
  updatePool (worker: FleetWorker): void {
    const history = this.find(worker)
    if (history && worker.isListed && history.pool !== worker.entry.pool) history.changePool(worker.entry.pool)
  }

  /** Drops outcomes that no longer count, and VMs without any whose workers are trusted. */
  prune (): void {
    const start = this._clock.now() - this._retentionMilliseconds
    this.failedTasks.prune(start)
    for (const [key, history] of this._histories) {
      history.dropBefore(start)
      if (history.health.state === 'trusted' && history.latestAt < start) this._histories.delete(key)
    }
  }

  /** Returns the history of the VM of a worker, created if need be; null while the VM is unknown, when nothing can be concluded. */
  private _historyOf (worker: FleetWorker): VirtualMachineHistory | null {
    const { id, pool } = worker.entry
    const virtualMachine = this._virtualMachines.virtualMachineOf(id)
    if (virtualMachine === '') return null
    const history = this._histories.get(virtualMachine) ?? new VirtualMachineHistory(virtualMachine, pool)
    if (history.pool !== pool) history.changePool(pool)
    this._histories.set(virtualMachine, history)
    return history
  }

  /** Tasks of one image behave alike; without an image, those of one step do. */
  private _kindOf ({ step }: ScheduledTask): string {
    return step.definition.image || step.name
  }
}
