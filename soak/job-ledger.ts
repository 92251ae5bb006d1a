/**
 * Ledger of what callers observed of their jobs.
 */
import type { FaultIntervals } from './fault-intervals.js'
import type { JobEntry } from './job-entry.js'

/** Records the jobs of all callers, and the violations that their responses show. */
export class JobLedger {
  readonly jobs = new Map<string, JobEntry>()
  readonly findings: string[] = []
  /** Number of jobs, from the next one on, with a task that crashes its workers. */
  deadlyJobsDue = 0
  /** Number of responses by call and status; status 0 stands for no response. */
  readonly responseCounts = new Map<string, number>()

  /** @param _areTasksDone returns whether each task of a job has been done on some worker. */
  constructor (private readonly _faultIntervals: FaultIntervals, private readonly _areTasksDone: (entry: JobEntry) => boolean) {}

  /** Adds a job before its first submission attempt. */
  add (id: string, tasks: readonly string[], isLasting: boolean): JobEntry {
    const isDeadly = !isLasting && this.deadlyJobsDue > 0
    if (isDeadly) this.deadlyJobsDue -= 1
    const entry: JobEntry = { id, tasks, isLasting, isDeadly, acceptedAt: Infinity, unconfirmedAttempts: 0, cancelledAt: Infinity, cancellationSentAt: Infinity, state: '', stateReadAt: 0 }
    this.jobs.set(id, entry)
    return entry
  }

  /** Counts a response. */
  countResponse (call: string, status: number): void {
    const key = `${call} ${status}`
    this.responseCounts.set(key, (this.responseCounts.get(key) ?? 0) + 1)
  }

  /** Checks and records the response to a query for a job's state. */
  recordState (entry: JobEntry, status: number, state: string): void {
    if (status === 410 && entry.acceptedAt < Infinity) this.findings.push(`${entry.id}: accepted, and later reported as gone`)
    if (status !== 200) return
    // A process that a fault cuts off from the store reports the last state it knows. A finished job never changes to another final state.
    const isStale = (state === 'running' || state === 'queued') && !this._faultIntervals.isFaultFree(entry.stateReadAt, Date.now())
    if (entry.state === 'completed' && state !== 'completed' && !isStale) this.findings.push(`${entry.id}: reported as completed, and later as ${state}`)
    if (state === 'completed' && !this._areTasksDone(entry)) this.findings.push(`${entry.id}: reported as completed before all its tasks were done`)
    if (state === 'cancelled' && entry.cancellationSentAt === Infinity) this.findings.push(`${entry.id}: reported as cancelled, but its caller sent no cancellation`)
    if (state === 'failed' && !entry.isDeadly) this.findings.push(`${entry.id}: reported as failed, but none of its tasks fails`)
    if (isStale && entry.state === 'completed') return
    entry.state = state
    entry.stateReadAt = Date.now()
  }
}
