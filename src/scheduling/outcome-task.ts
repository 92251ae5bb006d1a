/**
 * Keeps no more than the state of jobs that are over, and that no longer than promised.
 */
import type { JobBook } from '../jobs/job-book.js'
import type { SubmissionWriterTask } from '../jobs/submission-writer-task.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { DecisionWriterTask } from './decision-writer-task.js'
import type { JobRegister } from './job-register.js'

/** Time between two looks, in milliseconds; a finished job's records weigh on every process that starts meanwhile. */
const POLL_INTERVAL_MILLISECONDS = 500

/** Limit on dropping a finished job's submission, in milliseconds; one that isn't dropped now is dropped with the outcome. */
const DISPOSAL_TIMEOUT_MILLISECONDS = 5_000

/** Writes outcomes in place of finished jobs' records, and drops them in the end. */
export class OutcomeTask extends Task {
  override readonly name = 'outcomes'
  /** Epoch milliseconds since which each state is kept; Infinity once it is being forgotten. */
  private readonly _retainedSince = new Map<string, number>()

  /**
   * @param _submissionWriter writes to the topic that the job came by.
   * @param _retentionMilliseconds how long a job's state is kept.
   */
  constructor (
    private readonly _jobTable: JobBook, private readonly _jobs: JobRegister, private readonly _writer: DecisionWriterTask, private readonly _submissionWriter: SubmissionWriterTask,
    private readonly _retentionMilliseconds: number, private readonly _clock: Clock
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      this._writeOutcomes()
      await this._expireOutcomes(now)
      await this._clock.sleepUntil(now + POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _writeOutcomes (): void {
    for (const { id, view } of this._jobs.removeFinished()) {
      const { state, submission: { queue, occurrences, steps } } = view
      if (state === 'queued' || state === 'running') continue
      this._writer.append({ kind: 'outcome', job: id, queue, state, occurrences, steps: steps.length }, () => {
        // What fails here is made up for when the outcome is forgotten.
        void this._removeSubmission(id)
      })
    }
  }

  /** A new owner counts the time of what it finds from the start of its term. */
  private async _expireOutcomes (now: number): Promise<void> {
    for (const job of this._jobTable.outcomes) if (!this._retainedSince.has(job)) this._retainedSince.set(job, now)
    const expired = [...this._retainedSince].filter(([, since]) => since <= now - this._retentionMilliseconds).map(([job]) => job)
    await Promise.all(expired.map(job => this._removeOutcome(job)))
  }

  /** A late copy of the submission may have come since it was dropped; without the outcome it would be a new job. */
  private async _removeOutcome (job: string): Promise<void> {
    if (!await this._removeSubmission(job)) return
    this._retainedSince.set(job, Infinity)
    this._writer.append({ kind: 'retirement', job }, () => this._retainedSince.delete(job))
  }

  /** Drops the submission of a job whose outcome is written; whether that lasts. */
  private async _removeSubmission (job: string): Promise<boolean> {
    return await this._submissionWriter.write({ kind: 'disposal', job }, this._clock.now() + DISPOSAL_TIMEOUT_MILLISECONDS) === 'written'
  }
}
