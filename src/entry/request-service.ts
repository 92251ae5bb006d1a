/**
 * Serves callers' requests, whatever protocol brought them.
 */
import { createHash } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { Metrics } from '../observability/metrics.js'
import type { RecordedOutcome } from '../schemas/recorded-outcome.js'
import type { Clock } from '../supervision/clock.js'
import type { Admission } from './admission.js'
import type { AdmittedRequest } from './admitted-request.js'
import { BodyReader } from './body-reader.js'
import type { CallerRequest } from './caller-request.js'
import { ClaimTask } from './claim-task.js'
import { GiveUp } from './request-abort-signals.js'
import type { OutgoingRequest } from './outgoing-request.js'
import { Refusal } from './refusal.js'
import type { RequestDispatcher } from './request-dispatcher.js'
import type { ServedResponse } from './served-response.js'
import type { TaskService } from './task-service.js'

/** Largest answer body, in bytes, that is kept for a repeated arrival. */
const KEPT_ANSWER_BYTES = 4_096

/** Admits, claims, dispatches and records, one step after the other. */
export class RequestService {
  private readonly _bodies = new BodyReader()

  constructor (
    private readonly _admission: Admission,
    private readonly _claims: ClaimTask,
    private readonly _dispatcher: RequestDispatcher,
    private readonly _tasks: TaskService,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {}

  /**
   * Answers a request or says why not.
   *
   * @param callerGone aborted when the caller has left; work that may be cancelled is then given up.
   */
  async serve (request: CallerRequest, callerGone: AbortSignal): Promise<Either<Refusal, ServedResponse>> {
    const admission = this._admission.admit(request, this._clock.now())
    if (admission.isLeft()) return Left(admission.extract() as Refusal)
    const admitted = admission.extract() as AdmittedRequest
    this._metrics.count('requests.accepted', 1, admitted.queue.name)

    const body = await this._bodies.read(request.body, admitted.queue.maximumBodyBytes)
    if (body.isLeft()) return Left(body.extract() as Refusal)
    if (callerGone.aborted) return Left(new Refusal('malformed-request', 'not-run', 'the caller left'))
    const { method, path, headers } = request
    const outgoing = { method, path, headers, body: body.extract() as OutgoingRequest['body'] }

    if (admitted.queue.kind === 'task') return this._tasks.serve(admitted, outgoing)
    const giveUp = new GiveUp(this._clock, admitted.deadline, callerGone, admitted.isRepeatable)
    const answer = await this._run(admitted, request, outgoing, giveUp)
    this._settleAtEnd(answer, giveUp)
    return answer
  }

  private async _run (
    admitted: AdmittedRequest, request: CallerRequest, outgoing: OutgoingRequest, giveUp: GiveUp
  ): Promise<Either<Refusal, ServedResponse>> {
    if (admitted.isRepeatable || request.idempotencyKey === null) return this._dispatcher.dispatch(admitted, outgoing, giveUp)
    return this._serveOnce(admitted, request, request.idempotencyKey, outgoing, giveUp)
  }

  /** A streamed answer is under way until its body ends, and can be given up until then. */
  private _settleAtEnd (answer: Either<Refusal, ServedResponse>, giveUp: GiveUp): void {
    const body = answer.map(({ body }) => body).orDefault(Buffer.alloc(0))
    if (Buffer.isBuffer(body)) giveUp.settle()
    else body.once('close', () => giveUp.settle())
  }

  /** A non-idempotent request with an identity: the first arrival in the fleet runs it, the others join. */
  private async _serveOnce (
    admitted: AdmittedRequest, request: CallerRequest, idempotencyKey: string, outgoing: OutgoingRequest, giveUp: GiveUp
  ): Promise<Either<Refusal, ServedResponse>> {
    const key = ClaimTask.keyOf(admitted.team, admitted.queue.name, idempotencyKey)
    const result = await this._claims.claim(key, this._fingerprint(request, outgoing), admitted.requestId, admitted.deadline)
    switch (result.kind) {
      case 'unavailable':
        return Left(new Refusal('claims-unavailable', 'not-run', 'the log cannot record the idempotency key now', 1))
      case 'other-request':
        return Left(new Refusal('idempotency-key-reused', 'not-run', 'method, path or body differ from the first request with this key'))
      case 'joined':
        return this._recordedAnswer(result.outcome)
      case 'won': {
        const answer = await this._dispatcher.dispatch(admitted, outgoing, giveUp)
        this._claims.recordOutcome(key, admitted.requestId, this._outcomeOf(answer))
        return answer
      }
    }
  }

  private _recordedAnswer (outcome: RecordedOutcome | undefined): Either<Refusal, ServedResponse> {
    if (outcome?.kind === 'answered') {
      const body = Buffer.from(outcome.body, 'base64')
      const headers: Record<string, string> = { 'content-length': String(body.length) }
      if (outcome.contentType) headers['content-type'] = outcome.contentType
      return Right({ status: outcome.status, headers, body })
    }
    if (outcome?.kind === 'ran') return Left(new Refusal('answer-not-kept', 'ran', `it was answered with status ${outcome.status}`))
    if (outcome?.kind === 'not-run') return Left(new Refusal('no-capacity', 'not-run', 'the first request with this key was not run', 1))
    return Left(new Refusal('outcome-unknown', 'unknown', 'a request with this idempotency key was sent; whether it ran isn\'t known', 5))
  }

  private _outcomeOf (answer: Either<Refusal, ServedResponse>): RecordedOutcome {
    const nothing = { status: 0, contentType: '', body: '' }
    if (answer.isLeft()) {
      const refusal = answer.extract() as Refusal
      return { kind: refusal.outcome, ...nothing }
    }
    const { status, headers, body } = answer.extract() as ServedResponse
    // A streamed answer may yet be cut, and headers beyond the content type would be lost.
    if (!Buffer.isBuffer(body) || body.length > KEPT_ANSWER_BYTES) return { kind: 'ran', ...nothing, status }
    const contentType = String(headers['content-type'] ?? '').slice(0, 256)
    return { kind: 'answered', status, contentType, body: body.toString('base64') }
  }

  private _fingerprint (request: CallerRequest, outgoing: OutgoingRequest): string {
    const hash = createHash('sha256').update(JSON.stringify([request.method, request.path, request.contentLength]))
    if (Buffer.isBuffer(outgoing.body)) hash.update(outgoing.body)
    return hash.digest('hex')
  }
}
