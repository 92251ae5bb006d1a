/**
 * State of all jobs, built from the journal.
 */
import type { Clock } from '../supervision/clock.js'
import { JobBacklog } from './job-backlog.js'
import type { JobState } from './job-state.js'
import type { JobObserver } from './job-observer.js'
import { JobView } from './job-view.js'
import type { JournalRecord } from './journal-record.js'
import { LeaseBoundTable } from './lease-bound-table.js'
import { LongestLeaseTable } from './longest-lease-table.js'
import type { LeaseRenewals } from './lease-renewals.js'
import { PendingJobs } from './pending-jobs.js'
import type { SettledStarts } from './settled-starts.js'
import type { Term } from './term.js'
import type { VirtualMachineOrder } from './virtual-machine-order.js'
import { WaitingWork } from './waiting-work.js'
import type { WaveProgress } from './wave-progress.js'

/** Limit on cancellations that are kept until their submission has been read. */
const MAXIMUM_EARLY_CANCELLATIONS = 10_000

/** Kinds of records that any process writes, not only owners. */
const ANY_PROCESS_KINDS: ReadonlySet<JournalRecord['kind']> = new Set(['submission', 'cancellation', 'disposal', 'holder-end'])

/** Time for which owners of versions that don't write it go on renewing leases after their term's record, in milliseconds: 6 s after the last decision, which may follow that record. */
const UNSTATED_GRACE_PERIOD_MILLISECONDS = 6_500

/**
 * Applies the journal's records. Every process keeps a table: it provides the states that callers ask for, and a new owner
 * continues from it.
 */
export class JobTable {
  /** Notified of new jobs and cancellations while this process owns the journal; null otherwise. */
  observer: JobObserver | null = null
  /** Size of the jobs in `jobs`, by team. */
  readonly backlog = new JobBacklog()
  /** Work of the jobs in `jobs` that waits for a worker. */
  readonly waitingWork: WaitingWork
  /** The bounds on the leases of workers. */
  readonly leaseBounds: LeaseBoundTable
  /** The leases of workers that are longer than owners asked for. */
  readonly longestLeases: LongestLeaseTable
  private readonly _jobs = new Map<string, JobView>()
  private readonly _outcomes = new Map<string, JobState>()
  private readonly _pending: PendingJobs
  private readonly _earlyCancellations = new Set<string>()
  /** Decisions on jobs whose submission hasn't been read yet, by job: the two are in topics without a common order. */
  private readonly _earlyDecisions = new Map<string, Array<(job: JobView) => boolean>>()
  private readonly _waves = new Map<number, WaveProgress>()
  private readonly _orders = new Map<string, VirtualMachineOrder>()
  private _ownerRecordCount = 0
  private _settledStarts: SettledStarts = { before: 0, except: [] }
  /** The last holder of each process that is known to have ended, with the epoch milliseconds at which this process read of it. */
  private readonly _endedHolders = new Map<string, { readonly holder: string, readonly endedBefore: number }>()
  private _term: Term = { number: 0, holder: '', process: '', isReleased: true, renewedAt: 0, renewals: null, renewalsReadAt: 0 }

  constructor (private readonly _clock: Clock) {
    this._pending = new PendingJobs(_clock)
    this.waitingWork = new WaitingWork(_clock)
    this.leaseBounds = new LeaseBoundTable(_clock)
    this.longestLeases = new LongestLeaseTable(_clock)
  }

  /** Newest term claimed. */
  get term (): Term {
    return this._term
  }

  /** All active jobs, and finished ones whose outcome isn't written yet. */
  get jobs (): IterableIterator<JobView> {
    return this._jobs.values()
  }

  /** Number of jobs in `jobs`. */
  get size (): number { return this._jobs.size }

  /** IDs of the finished jobs of which only the state is kept. */
  get finishedJobIds (): IterableIterator<string> {
    return this._outcomes.keys()
  }

  /** IDs of cancelled jobs whose submission hasn't been read; it may not exist. */
  get earlyCancellations (): ReadonlySet<string> {
    return this._earlyCancellations
  }

  /** Whether there are decisions on jobs whose submission hasn't been read. */
  get hasEarlyDecisions (): boolean {
    return this._earlyDecisions.size > 0
  }

  /** Whether another such cancellation can be kept. */
  get hasRoomForEarlyCancellation (): boolean {
    return this._earlyCancellations.size < MAXIMUM_EARLY_CANCELLATIONS
  }

  /** Returns the state of a job, or null if there is no such job. */
  state (id: string): JobState | null {
    return this._outcomes.get(id) ?? this._jobs.get(id)?.state ?? null
  }

  /** Returns the progress of a wave, or null if nothing is recorded of it. */
  wave (number: number): WaveProgress | null {
    return this._waves.get(number) ?? null
  }

  /** The newest order to each VM, by its ID. */
  get orders (): ReadonlyMap<string, VirtualMachineOrder> {
    return this._orders
  }

  /** Returns the epoch milliseconds by which a holder has ended, according to its process's next incarnation; Infinity if it isn't known to have. */
  holderEndedAt (process: string, holder: string): number {
    const ended = this._endedHolders.get(process)
    return ended?.holder === holder ? ended.endedBefore : Infinity
  }

  /** Which starts are known to be no longer on their way. */
  get settledStarts (): SettledStarts {
    return this._settledStarts
  }

  /** Returns the number of accepted jobs of a queue of which nothing has started. */
  countPending (queue: string): number {
    return this._pending.count(queue)
  }

  /** Number of records from owners so far; it increases while there is a live owner. */
  get ownerRecordCount (): number { return this._ownerRecordCount }

  /**
   * Applies one record.
   *
   * @returns false if a decision that could be applied with it doesn't fit its job, and has been ignored.
   */
  apply (record: JournalRecord, offset: number): boolean {
    if (!ANY_PROCESS_KINDS.has(record.kind)) this._ownerRecordCount += 1
    switch (record.kind) {
      case 'verdict': return this._applyDecision(record.job, null, job => job.applyCancellation(offset))
      case 'progress': return this._applyDecision(record.job, record.step, job => job.applyProgress(record.occurrence, record.step, record.tasks, offset))
      case 'submission': return this._applySubmission(record.submission)
      case 'cancellation':
        this._applyCancellation(record.job)
        return true
      case 'disposal':
        this._earlyCancellations.delete(record.job)
        return true
      case 'outcome':
        this._remove(record.job)
        this._outcomes.set(record.job, record.state)
        return true
      case 'retirement':
        this._outcomes.delete(record.job)
        return true
      case 'term':
        if (record.term >= this._term.number) this._applyTerm(record)
        return true
      case 'holder-end':
        if (this._endedHolders.get(record.process)?.holder !== record.holder) this._endedHolders.set(record.process, { holder: record.holder, endedBefore: this._clock.now() })
        return true
      case 'wave':
        this._waves.set(record.progress.wave, record.progress)
        return true
      case 'order':
        this._orders.set(record.virtualMachine, record)
        return true
      case 'lease-bound':
        this.leaseBounds.apply(record)
        return true
      case 'lease-bound-withdrawal':
        this.leaseBounds.withdraw(record.worker)
        return true
      case 'longest-lease':
      case 'longest-lease-end':
        this.longestLeases.apply(record)
        return true
      case 'settled-starts':
        this._settledStarts = record.starts
        return true
    }
  }

  private _applySubmission (submission: JobView['submission']): boolean {
    if (this._jobs.has(submission.id) || this._outcomes.has(submission.id)) return true
    const job = new JobView(submission)
    this._jobs.set(submission.id, job)
    this.backlog.add(submission)
    if (this._earlyCancellations.delete(submission.id)) job.requestCancellation()
    const areApplied = (this._earlyDecisions.get(submission.id) ?? []).map(applyDecision => applyDecision(job))
    this._earlyDecisions.delete(submission.id)
    this._pending.update(job)
    this.waitingWork.add(job)
    this.observer?.jobSubmitted(job)
    return !areApplied.includes(false)
  }

  /** Applies a cancellation, which may precede its submission if different processes wrote the two. */
  private _applyCancellation (id: string): void {
    if (this._outcomes.has(id)) return
    const job = this._jobs.get(id)
    if (!job) {
      if (this.hasRoomForEarlyCancellation) this._earlyCancellations.add(id)
      return
    }
    if (job.isCancellationRequested) return
    job.requestCancellation()
    this.observer?.jobCancellationRequested(job)
  }

  /** A copy of what an earlier record said of leases is as old as that record. */
  private _applyTerm (record: Extract<JournalRecord, { kind: 'term' }>): void {
    const { term, holder, process = '', isReleased, at } = record
    const renewals = record.renewals === undefined ? this._unstatedRenewals(record) : record.renewals
    if (term !== this._term.number) this.waitingWork.restartMeasurements()
    const isCopy = renewals !== null && renewals.term === this._term.renewals?.term && renewals.at === this._term.renewals.at
    this._term = { number: term, holder, process, isReleased, renewedAt: at, renewals, renewalsReadAt: isCopy ? this._term.renewalsReadAt : this._clock.now() }
  }

  /** What owners of versions that don't write it do: they extend leases from the start of their term. */
  private _unstatedRenewals ({ term, holder, process = '', isReleased, at, othersRenewUntil }: Extract<JournalRecord, { kind: 'term' }>): LeaseRenewals {
    const until = at + UNSTATED_GRACE_PERIOD_MILLISECONDS
    return { term, holder, process, at, until: isReleased ? at : until, resumesAfter: until, resumesUntil: at, othersUntil: othersRenewUntil ?? until, workerClocks: [] }
  }

  /** Applies a decision on a step, or on all if it is null, now or once the submission has been read. Returns false if it doesn't fit the job. */
  private _applyDecision (id: string, step: number | null, decision: (job: JobView) => boolean): boolean {
    if (this._outcomes.has(id)) return true
    const job = this._jobs.get(id)
    if (!job) {
      this._earlyDecisions.set(id, [...this._earlyDecisions.get(id) ?? [], decision])
      return true
    }
    const isApplied = decision(job)
    this._pending.update(job)
    this.waitingWork.update(job, step)
    return isApplied
  }

  private _remove (id: string): void {
    this._earlyCancellations.delete(id)
    this._earlyDecisions.delete(id)
    const job = this._jobs.get(id)
    if (!job) return
    this._pending.remove(job)
    this.waitingWork.remove(job)
    this.backlog.remove(job.submission)
    this._jobs.delete(id)
  }
}
