/**
 * What callers saw of their jobs.
 */
import type { Calm } from './calm.js'
import type { JobEntry } from './job-entry.js'

/** Jobs of all callers, and what broke a promise. */
export class JobLedger {
  readonly jobs = new Map<string, JobEntry>()
  readonly findings: string[] = []
  /** Answers by call and status; 0 stands for none. */
  readonly answers = new Map<string, number>()

  /** @param _isDone whether all tasks of a job have been done on some worker. */
  constructor (private readonly _calm: Calm, private readonly _isDone: (entry: JobEntry) => boolean) {}

  /** Opens an entry. */
  open (id: string, tasks: readonly string[], isLasting: boolean): JobEntry {
    const entry: JobEntry = { id, tasks, isLasting, acceptedAt: Infinity, openAttempts: 0, cancelledAt: Infinity, isCancelSent: false, state: '', shownAt: 0 }
    this.jobs.set(id, entry)
    return entry
  }

  /** Counts an answer. */
  count (call: string, status: number): void {
    const key = `${call} ${status}`
    this.answers.set(key, (this.answers.get(key) ?? 0) + 1)
  }

  /** Notes the answer to a question for a job's state. */
  show (entry: JobEntry, status: number, state: string): void {
    if (status === 410 && entry.acceptedAt < Infinity) this.findings.push(`${entry.id}: accepted, and then said not to exist`)
    if (status !== 200) return
    // A process that a fault keeps from the store tells what it knew last; a job that is over never ends otherwise.
    const isStale = (state === 'running' || state === 'queued') && !this._calm.isCalm(entry.shownAt, Date.now())
    if (entry.state === 'completed' && state !== 'completed' && !isStale) this.findings.push(`${entry.id}: shown as completed, and then as ${state}`)
    if (state === 'completed' && !this._isDone(entry)) this.findings.push(`${entry.id}: shown as completed before all its tasks were done`)
    if (state === 'cancelled' && !entry.isCancelSent) this.findings.push(`${entry.id}: shown as cancelled, and nobody cancelled it`)
    if (isStale && entry.state === 'completed') return
    entry.state = state
    entry.shownAt = Date.now()
  }
}
