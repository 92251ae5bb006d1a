/**
 * Serves callers' requests, independent of the protocol they arrived by.
 */
import { createHash } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { Metrics } from '../observability/metrics.js'
import type { RecordedOutcome } from '../schemas/recorded-outcome.js'
import type { Clock } from '../supervision/clock.js'
import type { Admission } from './admission.js'
import type { AdmittedRequest } from './admitted-request.js'
import type { BodyReader } from './body-reader.js'
import type { CallerRequest } from './caller-request.js'
import { ClaimTask } from './claim-task.js'
import type { OutgoingRequest } from './outgoing-request.js'
import { Refusal } from './refusal.js'
import { RequestAbortSignals } from './request-abort-signals.js'
import type { RequestDispatcher } from './request-dispatcher.js'
import type { ServedResponse } from './served-response.js'
import type { TaskService } from './task-service.js'

/** Largest response body that is recorded in the log, to be returned when the same request arrives again. */
const MAXIMUM_RECORDED_BODY_BYTES = 4_096

/** Admits a request, claims its idempotency key if it has one, dispatches it and records its outcome. */
export class RequestService {
  constructor (
    private readonly _admission: Admission,
    private readonly _bodies: BodyReader,
    private readonly _claims: ClaimTask,
    private readonly _dispatcher: RequestDispatcher,
    private readonly _tasks: TaskService,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {}

  /**
   * Returns the response to a request, or the refusal.
   *
   * @param callerGone aborted when the caller disconnects; cancellable requests are then aborted.
   */
  async serve (request: CallerRequest, callerGone: AbortSignal): Promise<Either<Refusal, ServedResponse>> {
    const admissionResult = this._admission.admit(request, this._clock.now())
    if (admissionResult.isLeft()) return Left(admissionResult.extract() as Refusal)
    const admitted = admissionResult.extract() as AdmittedRequest
    this._metrics.count('requests.accepted', 1, admitted.queue.name)

    const received = await this._bodies.read(request, admitted.queue.maximumBodyBytes)
    if (received.isLeft()) return Left(received.extract() as Refusal)
    if (callerGone.aborted) return Left(new Refusal('malformed-request', 'not-run', 'the caller left'))
    const { method, path, headers } = request
    const outgoing: OutgoingRequest = { method, path, headers, ...received.unsafeCoerce() }

    if (admitted.queue.kind === 'task') return this._tasks.serve(admitted, outgoing)
    const abortSignals = new RequestAbortSignals(this._clock, admitted.deadline, callerGone, admitted.isRepeatable)
    const result = await this._run(admitted, request, outgoing, abortSignals)
    this._disposeAtEnd(result, abortSignals)
    return result
  }

  private async _run (
    admitted: AdmittedRequest, request: CallerRequest, outgoing: OutgoingRequest, abortSignals: RequestAbortSignals
  ): Promise<Either<Refusal, ServedResponse>> {
    if (admitted.isRepeatable || request.idempotencyKey === null) return this._dispatcher.dispatch(admitted, outgoing, abortSignals)
    return this._serveWithClaim(admitted, request, request.idempotencyKey, outgoing, abortSignals)
  }

  /** Disposes of the abort signals when the request has ended; a streamed response can be aborted until its body ends. */
  private _disposeAtEnd (result: Either<Refusal, ServedResponse>, abortSignals: RequestAbortSignals): void {
    const body = result.map(({ body }) => body).orDefault(Buffer.alloc(0))
    if (Buffer.isBuffer(body)) abortSignals.dispose()
    else body.once('close', () => abortSignals.dispose())
  }

  /** Serves a non-idempotent request with an idempotency key: the first one to arrive at any entry VM runs, the others wait for its outcome. */
  private async _serveWithClaim (
    admitted: AdmittedRequest, request: CallerRequest, idempotencyKey: string, outgoing: OutgoingRequest, abortSignals: RequestAbortSignals
  ): Promise<Either<Refusal, ServedResponse>> {
    const key = ClaimTask.keyOf(admitted.team, admitted.queue.name, idempotencyKey)
    const claimed = await this._claims.claim(key, this._fingerprint(request, outgoing), admitted.requestId, admitted.deadline)
    switch (claimed.kind) {
      case 'unavailable':
        return Left(new Refusal('claims-unavailable', 'not-run', 'the log cannot record the idempotency key now', 1))
      case 'other-request':
        return Left(new Refusal('idempotency-key-reused', 'not-run', 'method, path or body differ from the first request with this key'))
      case 'joined':
        return this._recordedResponse(claimed.outcome)
      case 'won': {
        const result = await this._dispatcher.dispatch(admitted, outgoing, abortSignals)
        this._claims.recordOutcome(key, admitted.requestId, this._outcomeOf(result))
        return result
      }
    }
  }

  private _recordedResponse (outcome: RecordedOutcome | undefined): Either<Refusal, ServedResponse> {
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

  private _outcomeOf (result: Either<Refusal, ServedResponse>): RecordedOutcome {
    const empty = { status: 0, contentType: '', body: '' }
    if (result.isLeft()) {
      const refusal = result.extract() as Refusal
      return { kind: refusal.outcome, ...empty }
    }
    const { status, headers, body } = result.extract() as ServedResponse
    // A streamed response may still be truncated. Of the headers, only the content type is recorded.
    if (!Buffer.isBuffer(body) || body.length > MAXIMUM_RECORDED_BODY_BYTES) return { kind: 'ran', ...empty, status }
    const contentType = String(headers['content-type'] ?? '').slice(0, 256)
    return { kind: 'answered', status, contentType, body: body.toString('base64') }
  }

  private _fingerprint (request: CallerRequest, outgoing: OutgoingRequest): string {
    const hash = createHash('sha256').update(JSON.stringify([request.method, request.path, request.contentLength]))
    if (Buffer.isBuffer(outgoing.body)) hash.update(outgoing.body)
    return hash.digest('hex')
  }
}
