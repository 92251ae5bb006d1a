/**
 * Handles callers' requests concerning jobs.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobQueue } from '../configuration/job-queue.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { NEVER_ABORTED } from '../supervision/never-aborted.js'
import type { JobAdmission } from '../admission/job-admission.js'
import type { ServabilityRefusal } from '../admission/servability-refusal.js'
import type { JobResponse } from './job-response.js'
import type { JobRequest } from './job-request.js'
import type { JournalAccess } from './journal-access.js'
import type { JournalFollowerTask } from './journal-follower-task.js'
import type { JobDefinition } from './job-definition.js'

/** Maximum age of the configuration view that proves that a queue or key doesn't exist, in milliseconds; less than a new configuration may take to be in force. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 1_500

/** Maximum age of the journal's view for a count of pending jobs, in milliseconds, as promised to callers. */
const MAXIMUM_COUNT_AGE_MILLISECONDS = 2_000

/** Margin for sending the response to the caller, in milliseconds. */
const RESPONSE_MARGIN_MILLISECONDS = 100

/** Age of the submissions' view up to which an unknown job is looked up in the records after it, in milliseconds: above the longest wait of a read without records. */
const MAXIMUM_LOOKUP_VIEW_AGE_MILLISECONDS = 1_000

/** Timeout for looking up an unknown job in the journal, in milliseconds. */
const LOOKUP_TIMEOUT_MILLISECONDS = 1_000

/** Authorizes and carries out requests independently of their encoding, so that several front ends can use it. */
export class JobService {
  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _journal: JournalAccess, private readonly _admission: JobAdmission,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /** Accepts a job; responds when the journal has the submission. */
  async submit (request: JobRequest, id: string, job: JobDefinition): Promise<JobResponse> {
    const queue = this._authorize(request)
    if ('kind' in queue) return this._respond('submit', id, queue)
    if (this._jobTable.state(id)) return this._respond('submit', id, { kind: 'accepted' })
    if (!this._isViewCurrent) return this._respond('submit', id, this._retryLater('not-run'))
    const team = this._configuration.teamOfKey(request.key)?.name ?? ''
    const receivedAt = this._clock.now()
    const { submissionJournal, fleetTime } = this._journal
    // 0 stands for a job without a due time.
    const startAt = job.startAt === 0 ? 0 : fleetTime.fromTimeOfDay(job.startAt) || 1
    const submittedAt = fleetTime.fromLocal(receivedAt)
    const submission = { ...job, id, queue: queue.name, queueAtSubmission: queue, team, startAt, submittedAt, submittedAtTimeOfDay: fleetTime.toTimeOfDay(submittedAt) }
    const record = { kind: 'submission', submission } as const
    const { servability, backlog, retryTimes } = this._admission
    if (submissionJournal.sizeOf(record) > submissionJournal.sizeLimits.record || backlog.isTooLarge(job)) return this._respond('submit', id, { kind: 'too-large' })
    // An earlier request with the same ID may have been carried out by this process.
    const isRepeated = backlog.isReserved(id)
    const refusal = isRepeated ? null : servability.refusalOf(submission, queue)
    if (refusal) return this._respond('submit', id, await this._unlessSubmitted(id, refusal.response), refusal.logFields)
    if (!isRepeated && !backlog.reserve(id, team, job)) return this._respond('submit', id, await this._unlessSubmitted(id, { kind: 'overloaded', retryAt: retryTimes.afterFullBacklog(receivedAt) }))
    const result = await this._journal.writer.write(record, request.deadline - RESPONSE_MARGIN_MILLISECONDS)
    if (result === 'not-written' && isRepeated) return this._respond('submit', id, { kind: 'unknown' })
    if (result === 'not-written') backlog.release(id)
    this._metrics.timing('jobs.submit.milliseconds', this._clock.now() - receivedAt)
    return this._respond('submit', id, this._writeResponse(result, { kind: 'accepted' }))
  }

  /** Responds with the state of a job. */
  async state (request: JobRequest, id: string): Promise<JobResponse> {
    const queue = this._authorize(request)
    if ('kind' in queue) return this._respond('state', id, queue)
    const state = this._isLoaded ? this._jobTable.state(id) : null
    if (state) return { kind: 'state', state }
    const found = await this._lookUp(id)
    if (found === 'unsure') return this._respond('state', id, this._retryLater('unsure'))
    return this._respond('state', id, found === 'there' ? { kind: 'state', state: 'queued' } : { kind: 'no-job' })
  }

  /**
   * Requests a job's cancellation; responds when the journal has the request. A job that isn't there is cancelled as well, because its submission may still
   * be executed by the store: after `no-job` it must not run.
   */
  async cancel (request: JobRequest, id: string): Promise<JobResponse> {
    const queue = this._authorize(request)
    if ('kind' in queue) return this._respond('cancel', id, queue)
    const state = this._isLoaded ? this._jobTable.state(id) : null
    if (state && state !== 'queued' && state !== 'running') return this._respond('cancel', id, { kind: 'cancelled' })
    const found = state ? 'there' : await this._lookUp(id)
    if (found === 'unsure' || (found === 'missing' && !this._jobTable.hasRoomForEarlyCancellation)) return this._respond('cancel', id, this._retryLater('unsure'))
    const result = await this._journal.writer.write({ kind: 'cancellation', job: id }, request.deadline - RESPONSE_MARGIN_MILLISECONDS)
    return this._respond('cancel', id, this._writeResponse(result, { kind: found === 'missing' ? 'no-job' : 'cancelled' }))
  }

  /** Responds with the number of accepted jobs of a queue of which nothing has started. */
  countPending (request: JobRequest): JobResponse {
    const queue = this._authorize(request)
    if ('kind' in queue) return this._respond('pending', request.path, queue)
    const oldestFreshAt = Math.min(this._journal.submissions.freshAt, this._journal.decisions.freshAt)
    if (oldestFreshAt < this._clock.now() - MAXIMUM_COUNT_AGE_MILLISECONDS) return this._respond('pending', request.path, this._retryLater('unsure'))
    return { kind: 'pending', count: this._jobTable.countPending(queue.name) }
  }

  private get _isViewCurrent (): boolean {
    return this._configuration.freshAt > this._clock.now() - MAXIMUM_VIEW_AGE_MILLISECONDS
  }

  /** Returns the addressed queue, or the response for a request without one or without access. Only a current view proves that a queue or key doesn't exist. */
  private _authorize (request: JobRequest): JobQueue | JobResponse {
    if (!this._configuration.configuration) return this._retryLater('not-run')
    const queue = this._configuration.route(request.host, request.path)
    if (!queue) return this._isViewCurrent ? { kind: 'no-queue' } : this._retryLater('not-run')
    if (queue.isOpenToAll || this._configuration.teamOfKey(request.key)) return queue
    return this._isViewCurrent ? { kind: 'unauthorized' } : this._retryLater('not-run')
  }

  /** Returns a refusal only if no process has written an earlier request with the same ID, since it promises that the job never runs. */
  private async _unlessSubmitted (id: string, refusal: JobResponse): Promise<JobResponse> {
    const found = await this._lookUp(id)
    if (found === 'there') return { kind: 'accepted' }
    return found === 'missing' ? refusal : { kind: 'unknown' }
  }

  /** Looks for a submission that this process hasn't applied yet. */
  private async _lookUp (id: string): Promise<'there' | 'missing' | 'unsure'> {
    if (!this._isLoaded) return 'unsure'
    const startedAt = this._clock.now()
    const deadline = startedAt + LOOKUP_TIMEOUT_MILLISECONDS
    const { submissions } = this._journal
    // A process that has fallen behind catches up first: reading everything that it lacks for each request would take the link that it needs for that.
    while (submissions.freshAt < startedAt - MAXIMUM_LOOKUP_VIEW_AGE_MILLISECONDS) {
      if (this._clock.now() >= deadline) return 'unsure'
      await submissions.changed.wait(this._clock, deadline)
    }
    for (let offset = submissions.nextOffset; ;) {
      const page = await this._journal.submissionJournal.read(offset, this._clock.now(), NEVER_ABORTED)
      if (page.isLeft() || this._clock.now() > deadline) return 'unsure'
      const { changes, next, end } = page.unsafeCoerce()
      if (this._jobTable.state(id) || changes.some(({ value }) => value.kind === 'submission' && value.submission.id === id)) return 'there'
      if (next >= end) return this._hasOutcome(id, startedAt, deadline)
      offset = next
    }
  }

  /** Checks whether a job that isn't among the submissions has finished: its submission is removed once its outcome is written. */
  private async _hasOutcome (id: string, asOf: number, deadline: number): Promise<'there' | 'missing' | 'unsure'> {
    while (this._journal.decisions.freshAt < asOf) {
      if (this._clock.now() > deadline) return 'unsure'
      await this._journal.decisions.changed.wait(this._clock, deadline)
    }
    return this._jobTable.state(id) ? 'there' : 'missing'
  }

  /** Whether both topics have been loaded: with only one of them, a finished job looks like a queued one, or like none. */
  private get _isLoaded (): boolean {
    return this._journal.submissions.isLoaded && this._journal.decisions.isLoaded
  }

  private get _jobTable (): JournalFollowerTask['jobTable'] {
    return this._journal.submissions.jobTable
  }

  private _writeResponse (result: 'written' | 'not-written' | 'unknown', response: JobResponse): JobResponse {
    if (result === 'written') return response
    return result === 'unknown' ? { kind: 'unknown' } : this._retryLater('not-run')
  }

  private _retryLater (kind: 'not-run' | 'unsure'): JobResponse {
    return { kind, retryAt: this._admission.retryTimes.afterUnavailability(this._clock.now()) }
  }

  private _respond (operation: string, job: string, response: JobResponse, refusalFields: ServabilityRefusal['logFields'] = {}): JobResponse {
    this._metrics.count('jobs.calls', 1, `${operation}:${response.kind}`)
    this._log.emit('job call', { call: operation, job, outcome: response.kind, configuration: this._configuration.version, viewAt: Math.round(this._configuration.freshAt), submissions: this._journal.submissions.nextOffset, decisions: this._journal.decisions.nextOffset, backlog: this._jobTable.backlog.total, ...refusalFields })
    return response
  }
}
