/**
 * Decides on callers' requests concerning jobs.
 */
import type { ConfigurationTask } from '../configuration/configuration-task.js'
import type { JobQueue } from '../configuration/job-queue.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { JobAnswer } from './job-answer.js'
import type { JobCall } from './job-call.js'
import type { JobJournal } from './job-journal.js'
import type { JournalFollowerTask } from './journal-follower-task.js'
import type { SubmissionWriterTask } from './submission-writer-task.js'
import type { JobDefinition } from './job-definition.js'

/** Age of the operators' view up to which it settles that a queue or key doesn't exist, in milliseconds; under the bound in which configurations take hold. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 1_500

/** Age of the journal's view up to which a count of waiting jobs is told, in milliseconds, as callers are promised. */
const MAXIMUM_COUNT_AGE_MILLISECONDS = 2_000

/** When a caller refused for want of the store is to come back, in milliseconds from now. */
const RETRY_AFTER_MILLISECONDS = 1_000

/** Time that an answer needs to reach its caller, in milliseconds. */
const RESPONSE_ALLOWANCE_MILLISECONDS = 100

/** Limit on looking an unknown job up in the journal, in milliseconds. */
const LOOKUP_TIMEOUT_MILLISECONDS = 1_000

/** Who may do what is decided here; other front ends use the same service. */
export class JobService {
  constructor (
    private readonly _configuration: ConfigurationTask, private readonly _submissionJournal: JobJournal, private readonly _submissions: JournalFollowerTask, private readonly _decisions: JournalFollowerTask, private readonly _writer: SubmissionWriterTask,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /** Accepts a job once the journal has it. */
  async submit (call: JobCall, id: string, job: JobDefinition): Promise<JobAnswer> {
    const queue = this._authorize(call)
    if ('kind' in queue) return this._respond('submit', id, queue)
    if (this._jobTable.state(id)) return this._respond('submit', id, { kind: 'accepted' })
    if (!this._isViewCurrent) return this._respond('submit', id, this._retryLater('not-run'))
    const team = this._configuration.teamOfKey(call.key)?.name ?? ''
    const submission = { ...job, id, queue: queue.name, team, submittedAt: this._clock.now() }
    const result = await this._writer.write({ kind: 'submission', submission }, call.deadline - RESPONSE_ALLOWANCE_MILLISECONDS)
    this._metrics.timing('jobs.submit.milliseconds', this._clock.now() - submission.submittedAt)
    return this._respond('submit', id, this._writeResponse(result, { kind: 'accepted' }))
  }

  /** State of a job. */
  async state (call: JobCall, id: string): Promise<JobAnswer> {
    const queue = this._authorize(call)
    if ('kind' in queue) return this._respond('state', id, queue)
    const state = this._isLoaded ? this._jobTable.state(id) : null
    if (state) return { kind: 'state', state }
    const found = await this._lookUp(id)
    if (found === 'unsure') return this._respond('state', id, this._retryLater('unsure'))
    return this._respond('state', id, found === 'there' ? { kind: 'state', state: 'queued' } : { kind: 'no-job' })
  }

  /** Cancels a job; answered when the journal has the cancellation. */
  async cancel (call: JobCall, id: string): Promise<JobAnswer> {
    const queue = this._authorize(call)
    if ('kind' in queue) return this._respond('cancel', id, queue)
    const state = this._isLoaded ? this._jobTable.state(id) : null
    if (state && state !== 'queued' && state !== 'running') return this._respond('cancel', id, { kind: 'cancelled' })
    const found = state ? 'there' : await this._lookUp(id)
    if (found === 'unsure') return this._respond('cancel', id, this._retryLater('unsure'))
    if (found === 'missing') return this._respond('cancel', id, { kind: 'no-job' })
    const result = await this._writer.write({ kind: 'cancellation', job: id }, call.deadline - RESPONSE_ALLOWANCE_MILLISECONDS)
    return this._respond('cancel', id, this._writeResponse(result, { kind: 'cancelled' }))
  }

  /** Accepted jobs of a queue of which nothing has started. */
  pending (call: JobCall): JobAnswer {
    const queue = this._authorize(call)
    if ('kind' in queue) return this._respond('pending', call.path, queue)
    const freshAt = Math.min(this._submissions.freshAt, this._decisions.freshAt)
    if (freshAt < this._clock.now() - MAXIMUM_COUNT_AGE_MILLISECONDS) return this._respond('pending', call.path, this._retryLater('unsure'))
    return { kind: 'pending', count: this._jobTable.countPending(queue.name) }
  }

  private get _isViewCurrent (): boolean {
    return this._configuration.freshAt > this._clock.now() - MAXIMUM_VIEW_AGE_MILLISECONDS
  }

  /** The queue, or why there is none. Absence is only stated from a current view. */
  private _authorize (call: JobCall): JobQueue | JobAnswer {
    if (!this._configuration.configuration) return this._retryLater('not-run')
    const queue = this._configuration.route(call.host, call.path)
    if (!queue) return this._isViewCurrent ? { kind: 'no-queue' } : this._retryLater('not-run')
    if (queue.isOpenToAll || this._configuration.teamOfKey(call.key)) return queue
    return this._isViewCurrent ? { kind: 'unauthorized' } : this._retryLater('not-run')
  }

  /** Looks for a submission that this process has not read yet. */
  private async _lookUp (id: string): Promise<'there' | 'missing' | 'unsure'> {
    if (!this._isLoaded) return 'unsure'
    const startedAt = this._clock.now()
    const deadline = startedAt + LOOKUP_TIMEOUT_MILLISECONDS
    for (let offset = this._submissions.nextOffset; ;) {
      const read = await this._submissionJournal.read(offset, this._clock.now(), new AbortController().signal)
      if (read.isLeft() || this._clock.now() > deadline) return 'unsure'
      const { changes, next, end } = read.unsafeCoerce()
      if (this._jobTable.state(id) || changes.some(({ value }) => value.kind === 'submission' && value.submission.id === id)) return 'there'
      if (next >= end) return this._hasOutcome(id, startedAt, deadline)
      offset = next
    }
  }

  /** Whether a job that isn't among the submissions is over: its submission is dropped once its outcome is written. */
  private async _hasOutcome (id: string, asOf: number, deadline: number): Promise<'there' | 'missing' | 'unsure'> {
    while (this._decisions.freshAt < asOf) {
      if (this._clock.now() > deadline) return 'unsure'
      await this._decisions.changed.wait(this._clock, deadline)
    }
    return this._jobTable.state(id) ? 'there' : 'missing'
  }

  /** Whether both topics have been read: from one alone a job that is over looks like one that waits, or like none. */
  private get _isLoaded (): boolean {
    return this._submissions.isLoaded && this._decisions.isLoaded
  }

  private get _jobTable (): JournalFollowerTask['book'] {
    return this._submissions.book
  }

  private _writeResponse (result: 'written' | 'not-written' | 'unknown', answer: JobAnswer): JobAnswer {
    if (result === 'written') return answer
    return result === 'unknown' ? { kind: 'unknown' } : this._retryLater('not-run')
  }

  private _retryLater (kind: 'not-run' | 'unsure'): JobAnswer {
    return { kind, retryAt: this._clock.now() + RETRY_AFTER_MILLISECONDS }
  }

  private _respond (call: string, job: string, answer: JobAnswer): JobAnswer {
    this._metrics.count('jobs.calls', 1, `${call}:${answer.kind}`)
    this._log.note('job call', { call, job, outcome: answer.kind, configuration: this._configuration.version, viewAt: Math.round(this._configuration.freshAt), submissions: this._submissions.nextOffset, decisions: this._decisions.nextOffset })
    return answer
  }
}
