/**
 * Admission control according to the configuration in force.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import type { Queue } from '../schemas/queue.js'
import type { StateKeeper } from '../state/state-keeper.js'
import { Admission } from './admission.js'
import type { AdmittedRequest } from './admitted-request.js'
import type { CallerRequest } from './caller-request.js'
import type { KeyVerifier } from './key-verifier.js'
import { Refusal } from './refusal.js'

/** Methods that HTTP defines as idempotent, so that a request may be retried. */
const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE'])

/** Longest idempotency key that is accepted. */
const MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS = 255

/** Checks the queue, the size limits, the key and the deadline, in this order. */
export class ConfiguredAdmission extends Admission {
  /**
   * @param _acceptsKnownKeys whether keys can be verified against the current view; false while cut off under a strict policy.
   */
  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _verifier: KeyVerifier,
    private readonly _acceptsKnownKeys: () => boolean
  ) {
    super()
  }

  override admit (request: CallerRequest, now: number): Either<Refusal, AdmittedRequest> {
    const queue = this._keeper.state.queues.get(request.queue)?.value
    if (!queue) return Left(new Refusal('queue-unknown', 'not-run', `queue ${request.queue.slice(0, 63)} doesn't exist`))
    return this._checkLimits(request, queue)
      .chain(() => this._authorize(request, queue))
      .chain(team => this._deadlineOf(request, queue, now).map(deadline => ({
        requestId: request.requestId,
        queue,
        team,
        deadline,
        isRepeatable: queue.isIdempotent || REPEATABLE_METHODS.has(request.method)
      })))
  }

  /** Returns the team of the request's key. On a queue that is open to all, the key is ignored. */
  private _authorize (request: CallerRequest, queue: Queue): Either<Refusal, string | null> {
    if (queue.openToAll) return Right(null)
    if (!this._acceptsKnownKeys()) {
      return Left(new Refusal('view-stale', 'not-run', 'keys cannot be checked against the newest configuration', 1))
    }
    if (request.bearer === null) return Left(new Refusal('key-invalid', 'not-run', 'the key is missing'))
    return this._verifier.verify(this._keeper.state, request.bearer)
      .mapLeft(reason => new Refusal('key-invalid', 'not-run', reason))
      .chain(key => {
        if (key.queues.length === 0 || key.queues.includes(queue.name)) return Right(key.team)
        return Left(new Refusal('key-not-for-queue', 'not-run', `the key doesn't open queue ${queue.name}`))
      })
  }

  private _deadlineOf (request: CallerRequest, queue: Queue, now: number): Either<Refusal, number> {
    if (request.deadline === null) return Right(now + queue.defaultTimeoutMilliseconds)
    if (!/^\d{1,15}$/.test(request.deadline)) {
      return Left(new Refusal('malformed-request', 'not-run', 'Samphireglade-Deadline must be epoch milliseconds'))
    }
    const deadline = Math.min(Number(request.deadline), now + queue.maximumTimeoutMilliseconds)
    if (deadline <= now) return Left(new Refusal('deadline-passed', 'not-run', 'the deadline had passed at arrival'))
    return Right(deadline)
  }

  private _checkLimits (request: CallerRequest, queue: Queue): Either<Refusal, void> {
    const { idempotencyKey, contentLength } = request
    if (idempotencyKey !== null && (idempotencyKey.length === 0 || idempotencyKey.length > MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS)) {
      return Left(new Refusal('malformed-request', 'not-run', `Idempotency-Key must have 1 to ${MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS} characters`))
    }
    if (contentLength !== null && contentLength > queue.maximumBodyBytes) {
      return Left(new Refusal('body-too-large', 'not-run', `queue ${queue.name} takes at most ${queue.maximumBodyBytes} bytes`))
    }
    return Right(undefined)
  }
}
