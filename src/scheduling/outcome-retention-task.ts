/**
 * Retention of finished jobs, of which only the state is kept, and of cancellations without a job, for a limited time.
 */
import type { JobTable } from '../jobs/job-table.js'
import type { SubmissionWriterTask } from '../jobs/submission-writer-task.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { DecisionWriterTask } from './decision-writer-task.js'
import type { ScheduledJobTable } from './scheduled-job-table.js'

/** Kept short, because a process that starts up has to read all records of finished jobs that outcomes have not replaced yet. */
const POLL_INTERVAL_MILLISECONDS = 500

/** Timeout for removing a finished job's submission; a submission that remains is removed along with the outcome. */
const DISPOSAL_TIMEOUT_MILLISECONDS = 5_000

/** Replaces the records of finished jobs with their outcome, and removes the outcome, or a cancellation without a job, after the retention time. */
export class OutcomeRetentionTask extends Task {
  override readonly name = 'outcomes'
  /** Epoch milliseconds since which each outcome, by job ID, is retained; Infinity while it is being removed. */
  private readonly _retainedSince = new Map<string, number>()
  /** Epoch milliseconds since which each cancellation without a submission, by job ID, is retained. */
  private readonly _cancelledSince = new Map<string, number>()

  /**
   * @param _submissionWriter writes to the topic of the submissions.
   * @param _retentionMilliseconds time for which a job's state is kept.
   */
  constructor (
    private readonly _jobTable: JobTable, private readonly _scheduledJobs: ScheduledJobTable, private readonly _writer: DecisionWriterTask, private readonly _submissionWriter: SubmissionWriterTask,
    private readonly _retentionMilliseconds: number, private readonly _clock: Clock
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      this._writeOutcomes()
      await this._expireOutcomes(now)
      await this._expireEarlyCancellations(now)
      await this._clock.sleepUntil(now + POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _writeOutcomes (): void {
    for (const { id, view } of this._scheduledJobs.removeFinished()) {
      const { state, recordedOccurrences, submission: { queue, steps } } = view
      if (state === 'queued' || state === 'running') continue
      this._writer.append({ kind: 'outcome', job: id, queue, state, occurrences: recordedOccurrences, steps: steps.length }, () => {
        // If this fails, the submission is removed when the outcome expires.
        void this._removeSubmission(id)
      })
    }
  }

  /** Removes expired outcomes. A new owner counts the retention time of the outcomes that it finds from the start of its term. */
  private async _expireOutcomes (now: number): Promise<void> {
    for (const job of this._jobTable.finishedJobIds) if (!this._retainedSince.has(job)) this._retainedSince.set(job, now)
    const expired = [...this._retainedSince].filter(([, since]) => since <= now - this._retentionMilliseconds).map(([job]) => job)
    await Promise.all(expired.map(job => this._removeOutcome(job)))
  }

  /** Removes the cancellations of jobs that were never submitted, once their submission can't arrive any more. */
  private async _expireEarlyCancellations (now: number): Promise<void> {
    const { earlyCancellations } = this._jobTable
    for (const job of this._cancelledSince.keys()) if (!earlyCancellations.has(job)) this._cancelledSince.delete(job)
    for (const job of earlyCancellations) if (!this._cancelledSince.has(job)) this._cancelledSince.set(job, now)
    const expired = [...this._cancelledSince].filter(([, since]) => since <= now - this._retentionMilliseconds).map(([job]) => job)
    await Promise.all(expired.map(job => this._removeSubmission(job)))
  }

  /** Removes the submission again before the outcome: a late duplicate of it would be taken for a new job once the outcome is gone. */
  private async _removeOutcome (job: string): Promise<void> {
    if (!await this._removeSubmission(job)) return
    this._retainedSince.set(job, Infinity)
    this._writer.append({ kind: 'retirement', job }, () => this._retainedSince.delete(job))
  }

  /** Removes the submission of a job whose outcome is in the journal; returns whether the removal is durable. */
  private async _removeSubmission (job: string): Promise<boolean> {
    return await this._submissionWriter.write({ kind: 'disposal', job }, this._clock.now() + DISPOSAL_TIMEOUT_MILLISECONDS) === 'written'
  }
}
