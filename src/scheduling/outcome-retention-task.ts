/**
 * Keeps no more than the state of jobs that are over, and that no longer than promised.
 */
import type { JobTable } from '../jobs/job-table.js'
import type { SubmissionWriterTask } from '../jobs/submission-writer-task.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { DecisionWriterTask } from './decision-writer-task.js'
import type { ScheduledJobTable } from './scheduled-job-table.js'

/** Time between two looks, in milliseconds; a finished job's records weigh on every process that starts meanwhile. */
const INTERVAL_MILLISECONDS = 500

/** Limit on dropping a finished job's submission, in milliseconds; one that isn't dropped now is dropped with the outcome. */
const DISPOSAL_MILLISECONDS = 5_000

/** Writes outcomes in place of finished jobs' records, and drops them in the end. */
export class OutcomeRetentionTask extends Task {
  override readonly name = 'outcomes'
  /** Epoch milliseconds since which each state is kept; Infinity once it is being forgotten. */
  private readonly _keptSince = new Map<string, number>()

  /**
   * @param _submissions writes to the topic that the job came by.
   * @param _retentionMilliseconds how long a job's state is kept.
   */
  constructor (
    private readonly _book: JobTable, private readonly _jobs: ScheduledJobTable, private readonly _writer: DecisionWriterTask, private readonly _submissions: SubmissionWriterTask,
    private readonly _retentionMilliseconds: number, private readonly _clock: Clock
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      this._finish()
      await this._retire(now)
      await this._clock.sleepUntil(now + INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _finish (): void {
    for (const { id, view } of this._jobs.takeFinished()) {
      const { state, submission: { queue, occurrences, steps } } = view
      if (state === 'queued' || state === 'running') continue
      this._writer.append({ kind: 'outcome', job: id, queue, state, occurrences, steps: steps.length }, () => {
        // What fails here is made up for when the outcome is forgotten.
        void this._dispose(id)
      })
    }
  }

  /** A new owner counts the time of what it finds from the start of its term. */
  private async _retire (now: number): Promise<void> {
    for (const job of this._book.finishedJobIds) if (!this._keptSince.has(job)) this._keptSince.set(job, now)
    const expired = [...this._keptSince].filter(([, since]) => since <= now - this._retentionMilliseconds).map(([job]) => job)
    await Promise.all(expired.map(job => this._forget(job)))
  }

  /** A late copy of the submission may have come since it was dropped; without the outcome it would be a new job. */
  private async _forget (job: string): Promise<void> {
    if (!await this._dispose(job)) return
    this._keptSince.set(job, Infinity)
    this._writer.append({ kind: 'retirement', job }, () => this._keptSince.delete(job))
  }

  /** Drops the submission of a job whose outcome is written; whether that lasts. */
  private async _dispose (job: string): Promise<boolean> {
    return await this._submissions.write({ kind: 'disposal', job }, this._clock.now() + DISPOSAL_MILLISECONDS) === 'written'
  }
}
