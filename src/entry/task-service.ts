/**
 * The caller interface for tasks.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { ClientBounds } from '../http/client-bounds.js'
import { isJsonWithinBounds } from '../http/json-within-bounds.js'
import { findingsOf } from '../schemas/findings-of.js'
import type { FleetTask } from '../schemas/fleet-task.js'
import { Name } from '../schemas/name.js'
import type { TaskCommand } from '../schemas/task-command.js'
import { TaskSubmission } from '../schemas/task-submission.js'
import type { CommandSubmitter } from '../state/command-submitter.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import type { AdmittedRequest } from './admitted-request.js'
import type { OutgoingRequest } from './outgoing-request.js'
import { Refusal } from './refusal.js'
import type { ServedResponse } from './served-response.js'

const Submissions = z.object({ tasks: z.array(TaskSubmission).min(1).max(1_024) }).strict()
const Cancellations = z.object({ ids: z.array(Name).min(1).max(1_024) }).strict()

/** Largest document that is taken, in bytes. */
const MAXIMUM_DOCUMENT_BYTES = 65_536

/**
 * Submits, lists and cancels the tasks of the caller's team on a queue of kind task.
 * Submitting is idempotent by task id: submitting an id again, at any entry VM, changes
 * nothing. All cancellations of one request are written as one record.
 */
export class TaskService {
  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _submitter: CommandSubmitter,
    private readonly _identifiers: IdentifierSource,
    private readonly _limits: Pick<ClientBounds, 'maximumJsonValues' | 'maximumJsonDepth'>
  ) {}

  /** Routes an admitted request on a queue of kind task. */
  async serve (request: AdmittedRequest, { method, path, body }: OutgoingRequest): Promise<Either<Refusal, ServedResponse>> {
    const [route = ''] = path.split('?')
    if (method === 'GET' && route === '/tasks') return Right(this._jsonResponse(200, { tasks: this._tasksOf(request).map(task => this._toDocument(task)) }))
    if (method === 'GET' && route.startsWith('/tasks/')) return this._findTask(request, route.slice('/tasks/'.length))
    if (method === 'POST' && route === '/tasks') return this._submit(request, body)
    if (method === 'POST' && route === '/tasks/cancel') return this._cancel(request, body)
    return Left(new Refusal('queue-unknown', 'not-run', 'a queue of kind task has GET and POST /tasks, GET /tasks/{id} and POST /tasks/cancel'))
  }

  private _tasksOf ({ team, queue }: AdmittedRequest): FleetTask[] {
    return [...this._keeper.state.tasks.values()].filter(task => task.team === team && task.queue === queue.name)
  }

  private _findTask (request: AdmittedRequest, id: string): Either<Refusal, ServedResponse> {
    const task = this._keeper.state.tasks.get(id)
    const isOwn = task && task.team === request.team && task.queue === request.queue.name
    return isOwn ? Right(this._jsonResponse(200, this._toDocument(task))) : Left(new Refusal('task-unknown', 'not-run', 'the team has no such task on this queue'))
  }

  private async _submit (request: AdmittedRequest, body: OutgoingRequest['body']): Promise<Either<Refusal, ServedResponse>> {
    const parsedBody = this._parse(Submissions, body)
    if (parsedBody.isLeft()) return Left(parsedBody.extract() as Refusal)
    const { tasks } = parsedBody.extract() as z.infer<typeof Submissions>
    const submitted = await this._submitCommand(request, { kind: 'submit-tasks', queue: request.queue.name, team: request.team, tasks })
    return submitted.map(() => this._jsonResponse(201, { tasks: tasks.flatMap(({ id }) => this._keeper.state.tasks.get(id) ?? []).map(task => this._toDocument(task)) }))
  }

  private async _cancel (request: AdmittedRequest, body: OutgoingRequest['body']): Promise<Either<Refusal, ServedResponse>> {
    const parsedBody = this._parse(Cancellations, body)
    if (parsedBody.isLeft()) return Left(parsedBody.extract() as Refusal)
    const { ids } = parsedBody.extract() as z.infer<typeof Cancellations>
    const submitted = await this._submitCommand(request, { kind: 'cancel-tasks', queue: request.queue.name, team: request.team, ids })
    return submitted.map(() => this._jsonResponse(200, { tasks: ids.flatMap(id => this._keeper.state.tasks.get(id) ?? []).map(task => this._toDocument(task)) }))
  }

  private async _submitCommand (request: AdmittedRequest, command: TaskCommand): Promise<Either<Refusal, void>> {
    const result = await this._submitter.submit(command, { id: this._identifiers.next(), purpose: 'claims', deadline: request.deadline })
    switch (result.kind) {
      case 'accepted': return Right(undefined)
      case 'refused': return Left(new Refusal('malformed-request', 'not-run', result.decision.findings.map(({ path, message }) => `${path}: ${message}`).join('; ')))
      case 'shed': return Left(new Refusal('claims-unavailable', 'not-run', 'too much waits for the log', 1))
      case 'unknown': return Left(new Refusal('outcome-unknown', 'unknown', 'the log has not decided in time; ask for the tasks, or send the same ids again', 1))
    }
  }

  private _parse<T> (schema: z.ZodType<T>, body: OutgoingRequest['body']): Either<Refusal, T> {
    if (Buffer.isBuffer(body) && !isJsonWithinBounds(body, this._limits)) {
      return Left(new Refusal('body-too-complex', 'not-run', `at most ${this._limits.maximumJsonValues} values and ${this._limits.maximumJsonDepth} levels are taken`))
    }
    if (!Buffer.isBuffer(body) || body.length > MAXIMUM_DOCUMENT_BYTES) return Left(new Refusal('malformed-request', 'not-run', 'a JSON document of at most 64 KB is needed'))
    try {
      const parsed = schema.safeParse(JSON.parse(body.toString('utf8')))
      if (parsed.success) return Right(parsed.data)
      const findings = findingsOf(parsed.error, '$').map(({ path, message }) => `${path}: ${message}`)
      return Left(new Refusal('malformed-request', 'not-run', findings.join('; ')))
    } catch (error) {
      return Left(new Refusal('malformed-request', 'not-run', `the document is not JSON: ${(error as Error).message}`))
    }
  }

  private _toDocument ({ id, phase, reason, size, isUrgent, submittedAt, worker }: FleetTask): object {
    return { id, phase, reason, size, isUrgent, submittedAt, worker }
  }

  private _jsonResponse (status: number, document: object): ServedResponse {
    const body = Buffer.from(JSON.stringify(document))
    return { status, headers: { 'content-type': 'application/json', 'content-length': String(body.length) }, body }
  }
}
