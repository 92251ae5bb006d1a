/**
 * All jobs, as the journal tells them.
 */
import type { JobState } from './job-state.js'
import type { JobObserver } from './job-observer.js'
import { JobView } from './job-view.js'
import type { JournalRecord } from './journal-record.js'
import type { WaveProgress } from './wave-progress.js'

/** Longest memory for cancellations that came before their submission, in cancellations. */
const MAXIMUM_EARLY_CANCELLATIONS = 10_000

/** The term that the journal knows of. */
interface Term {
  readonly number: number
  readonly holder: string
  readonly isReleased: boolean
  /** Epoch milliseconds of the newest claim or sign of life, on its writer's clock. */
  readonly at: number
}

/**
 * Folds the journal. Every process keeps one: it answers for states, and whoever becomes owner
 * goes on from it.
 */
export class JobTable {
  /** Told of new jobs and cancellations while this process owns the journal. */
  observer: JobObserver | null = null
  private readonly _jobs = new Map<string, JobView>()
  private readonly _outcomes = new Map<string, JobState>()
  private readonly _unstarted = new Map<string, Set<string>>()
  private readonly _earlyCancellations = new Set<string>()
  /** Decisions on jobs whose submission hasn't been read yet, since the two come by different ways. */
  private readonly _earlyDecisions = new Map<string, Array<() => void>>()
  private readonly _waves = new Map<number, WaveProgress>()
  private readonly _orders = new Map<string, { readonly term: number, readonly at: number }>()
  private _ownerRecords = 0
  private _term: Term = { number: 0, holder: '', isReleased: true, at: 0 }

  /** Newest term claimed. */
  get term (): Term {
    return this._term
  }

  /** All jobs known. */
  get jobs (): IterableIterator<JobView> {
    return this._jobs.values()
  }

  /** Number of jobs known. */
  get size (): number {
    return this._jobs.size
  }

  /** Jobs that are over and of which only the state is kept. */
  get finishedJobIds (): IterableIterator<string> {
    return this._outcomes.keys()
  }

  /** What callers are told of a job, or null if there is none. */
  state (id: string): JobState | null {
    return this._outcomes.get(id) ?? this._jobs.get(id)?.state ?? null
  }

  /** Progress of a wave, or null before it began. */
  wave (number: number): WaveProgress | null {
    return this._waves.get(number) ?? null
  }

  /** The newest order to a VM: whose term, and when (epoch milliseconds); null if there was none. */
  order (virtualMachine: string): { readonly term: number, readonly at: number } | null {
    return this._orders.get(virtualMachine) ?? null
  }

  /** Accepted jobs of a queue of which nothing has started. */
  pending (queue: string): number {
    return this._unstarted.get(queue)?.size ?? 0
  }

  /** Number of records that owners have written: it rises while there is one. */
  get ownerRecords (): number {
    return this._ownerRecords
  }

  /** Takes one record in. */
  apply (record: JournalRecord, offset: number): void {
    if (record.kind !== 'submission' && record.kind !== 'cancellation' && record.kind !== 'disposal') this._ownerRecords += 1
    switch (record.kind) {
      case 'submission': return this._submit(record.submission)
      case 'cancellation': return this._requestCancellation(record.job)
      case 'disposal': return
      case 'verdict': return this._decide(record.job, job => job.cancel(offset))
      case 'progress': return this._decide(record.job, job => job.progress(record.occurrence, record.step, record.tasks, offset))
      case 'outcome':
        this._forget(record.job)
        this._outcomes.set(record.job, record.state)
        return
      case 'retirement':
        this._outcomes.delete(record.job)
        return
      case 'term':
        if (record.term >= this._term.number) this._term = { number: record.term, holder: record.holder, isReleased: record.isReleased, at: record.at }
        return
      case 'wave':
        this._waves.set(record.progress.wave, record.progress)
        return
      case 'order':
        this._orders.set(record.virtualMachine, { term: record.term, at: record.at })
    }
  }

  private _submit (submission: JobView['submission']): void {
    if (this._jobs.has(submission.id) || this._outcomes.has(submission.id)) return
    const job = new JobView(submission)
    this._jobs.set(submission.id, job)
    if (this._earlyCancellations.delete(submission.id)) job.requestCancellation()
    for (const decide of this._earlyDecisions.get(submission.id) ?? []) decide()
    this._earlyDecisions.delete(submission.id)
    this._noteStart(job)
    this.observer?.jobSubmitted(job)
  }

  /** A cancellation may overtake its submission at another entry process. */
  private _requestCancellation (id: string): void {
    if (this._outcomes.has(id)) return
    const job = this._jobs.get(id)
    if (!job) {
      if (this._earlyCancellations.size < MAXIMUM_EARLY_CANCELLATIONS) this._earlyCancellations.add(id)
      return
    }
    if (job.isCancellationRequested) return
    job.requestCancellation()
    this.observer?.jobCancellationRequested(job)
  }

  /** Takes a decision in now, or when the submission comes. */
  private _decide (id: string, take: (job: JobView) => void): void {
    if (this._outcomes.has(id)) return
    const job = this._jobs.get(id)
    if (!job) {
      this._earlyDecisions.set(id, [...this._earlyDecisions.get(id) ?? [], () => this._decide(id, take)])
      return
    }
    take(job)
    this._noteStart(job)
  }

  private _forget (id: string): void {
    this._earlyCancellations.delete(id)
    this._earlyDecisions.delete(id)
    const job = this._jobs.get(id)
    if (!job) return
    this._unstarted.get(job.submission.queue)?.delete(id)
    this._jobs.delete(id)
  }

  private _noteStart (job: JobView): void {
    const { id, queue } = job.submission
    if (job.state !== 'queued') {
      this._unstarted.get(queue)?.delete(id)
      return
    }
    const waiting = this._unstarted.get(queue) ?? new Set()
    this._unstarted.set(queue, waiting.add(id))
  }
}
