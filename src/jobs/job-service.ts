/**
 * Decides on callers' requests concerning jobs.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobQueue } from '../configuration/job-queue.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { JobResponse } from './job-response.js'
import type { JobRequest } from './job-request.js'
import type { JobJournal } from './job-journal.js'
import type { JournalFollowerTask } from './journal-follower-task.js'
import type { SubmissionWriterTask } from './submission-writer-task.js'
import type { SubmittedJob } from './job-definition.js'

/** Age of the operators' view up to which it settles that a queue or key doesn't exist, in milliseconds; under the bound in which configurations take hold. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 1_500

/** Age of the journal's view up to which a count of waiting jobs is told, in milliseconds, as callers are promised. */
const MAXIMUM_COUNT_AGE_MILLISECONDS = 2_000

/** When a caller refused for want of the store is to come back, in milliseconds from now. */
const RETRY_MILLISECONDS = 1_000

/** Time that an answer needs to reach its caller, in milliseconds. */
const ANSWER_MILLISECONDS = 100

/** Limit on looking an unknown job up in the journal, in milliseconds. */
const LOOKUP_TIMEOUT_MILLISECONDS = 1_000

/** Who may do what is decided here; other front ends use the same service. */
export class JobService {
  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _submitted: JobJournal, private readonly _submissions: JournalFollowerTask, private readonly _decisions: JournalFollowerTask, private readonly _writer: SubmissionWriterTask,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /** Accepts a job once the journal has it. */
  async submit (call: JobRequest, id: string, job: SubmittedJob): Promise<JobResponse> {
    const queue = this._admit(call)
    if ('kind' in queue) return this._told('submit', id, queue)
    if (this._book.state(id)) return this._told('submit', id, { kind: 'accepted' })
    if (!this._isViewCurrent) return this._told('submit', id, this._later('not-run'))
    const team = this._configuration.teamOfKey(call.key)?.name ?? ''
    const submission = { ...job, id, queue: queue.name, team, submittedAt: this._clock.now() }
    const result = await this._writer.write({ kind: 'submission', submission }, call.deadline - ANSWER_MILLISECONDS)
    this._metrics.timing('jobs.submit.milliseconds', this._clock.now() - submission.submittedAt)
    return this._told('submit', id, this._written(result, { kind: 'accepted' }))
  }

  /** State of a job. */
  async state (call: JobRequest, id: string): Promise<JobResponse> {
    const queue = this._admit(call)
    if ('kind' in queue) return this._told('state', id, queue)
    const state = this._isLoaded ? this._book.state(id) : null
    if (state) return { kind: 'state', state }
    const found = await this._lookUp(id)
    if (found === 'unsure') return this._told('state', id, this._later('unsure'))
    return this._told('state', id, found === 'there' ? { kind: 'state', state: 'queued' } : { kind: 'no-job' })
  }

  /** Cancels a job; answered when the journal has the cancellation. */
  async cancel (call: JobRequest, id: string): Promise<JobResponse> {
    const queue = this._admit(call)
    if ('kind' in queue) return this._told('cancel', id, queue)
    const state = this._isLoaded ? this._book.state(id) : null
    if (state && state !== 'queued' && state !== 'running') return this._told('cancel', id, { kind: 'cancelled' })
    const found = state ? 'there' : await this._lookUp(id)
    if (found === 'unsure') return this._told('cancel', id, this._later('unsure'))
    if (found === 'missing') return this._told('cancel', id, { kind: 'no-job' })
    const result = await this._writer.write({ kind: 'cancellation', job: id }, call.deadline - ANSWER_MILLISECONDS)
    return this._told('cancel', id, this._written(result, { kind: 'cancelled' }))
  }

  /** Accepted jobs of a queue of which nothing has started. */
  countPending (call: JobRequest): JobResponse {
    const queue = this._admit(call)
    if ('kind' in queue) return this._told('pending', call.path, queue)
    const countedAt = Math.min(this._submissions.freshAt, this._decisions.freshAt)
    if (countedAt < this._clock.now() - MAXIMUM_COUNT_AGE_MILLISECONDS) return this._told('pending', call.path, this._later('unsure'))
    return { kind: 'pending', count: this._book.pending(queue.name) }
  }

  private get _isViewCurrent (): boolean {
    return this._configuration.freshAt > this._clock.now() - MAXIMUM_VIEW_AGE_MILLISECONDS
  }

  /** The queue, or why there is none. Absence is only stated from a current view. */
  private _admit (call: JobRequest): JobQueue | JobResponse {
    if (!this._configuration.configuration) return this._later('not-run')
    const queue = this._configuration.route(call.host, call.path)
    if (!queue) return this._isViewCurrent ? { kind: 'no-queue' } : this._later('not-run')
    if (queue.isOpenToAll || this._configuration.teamOfKey(call.key)) return queue
    return this._isViewCurrent ? { kind: 'unauthorized' } : this._later('not-run')
  }

  /** Looks for a submission that this process has not read yet. */
  private async _lookUp (id: string): Promise<'there' | 'missing' | 'unsure'> {
    if (!this._isLoaded) return 'unsure'
    const startedAt = this._clock.now()
    const deadline = startedAt + LOOKUP_TIMEOUT_MILLISECONDS
    for (let offset = this._submissions.next; ;) {
      const read = await this._submitted.read(offset, this._clock.now(), new AbortController().signal)
      if (read.isLeft() || this._clock.now() > deadline) return 'unsure'
      const { changes, next, end } = read.unsafeCoerce()
      if (this._book.state(id) || changes.some(({ value }) => value.kind === 'submission' && value.submission.id === id)) return 'there'
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
    return this._book.state(id) ? 'there' : 'missing'
  }

  /** Whether both topics have been read: from one alone a job that is over looks like one that waits, or like none. */
  private get _isLoaded (): boolean {
    return this._submissions.isLoaded && this._decisions.isLoaded
  }

  private get _book (): JournalFollowerTask['jobTable'] {
    return this._submissions.jobTable
  }

  private _written (result: 'written' | 'not-written' | 'unknown', answer: JobResponse): JobResponse {
    if (result === 'written') return answer
    return result === 'unknown' ? { kind: 'unknown' } : this._later('not-run')
  }

  private _later (kind: 'not-run' | 'unsure'): JobResponse {
    return { kind, retryAt: this._clock.now() + RETRY_MILLISECONDS }
  }

  private _told (call: string, job: string, answer: JobResponse): JobResponse {
    this._metrics.count('jobs.calls', 1, `${call}:${answer.kind}`)
    this._log.emit('job call', { call, job, outcome: answer.kind, configuration: this._configuration.version, viewAt: Math.round(this._configuration.freshAt), submissions: this._submissions.next, decisions: this._decisions.next })
    return answer
  }
}
