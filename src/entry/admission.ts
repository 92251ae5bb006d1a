/**
 * Whether a request may enter.
 */
import type { Either } from 'purify-ts/Either'
import type { AdmittedRequest } from './admitted-request.js'
import type { CallerRequest } from './caller-request.js'
import type { Refusal } from './refusal.js'

/** Decides at arrival, before anything is queued or sent. Every refusal here is truly `not-run`. */
export abstract class Admission {
  /** Admits a request that arrived at `now` (epoch milliseconds), or says why not. */
  abstract admit (request: CallerRequest, now: number): Either<Refusal, AdmittedRequest>
}
