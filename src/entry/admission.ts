/**
 * The interface of admission control for callers' requests.
 */
import type { Either } from 'purify-ts/Either'
import type { AdmittedRequest } from './admitted-request.js'
import type { CallerRequest } from './caller-request.js'
import type { Refusal } from './refusal.js'

/** Admits or refuses a request on arrival, before it is queued or sent, so that every refusal has the outcome `not-run`. */
export abstract class Admission {
  /** Admits a request that arrived at `now` (epoch milliseconds), or returns the refusal. */
  abstract admit (request: CallerRequest, now: number): Either<Refusal, AdmittedRequest>
}
