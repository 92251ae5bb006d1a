/**
 * Refusals of callers' requests that are decided before a request task exists.
 */
import { EarlyRefusals } from '../http/early-refusals.js'
import type { RefusalDocument } from '../http/refusal-document.js'
import type { Metrics } from '../observability/metrics.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import { Refusal } from './refusal.js'

/** Kind and explanation of a refusal by its status; other statuses are for input that isn't HTTP. */
const REFUSALS: Readonly<Record<number, readonly [Refusal['kind'], string]>> = {
  408: ['request-too-slow', 'the request was not received in time'],
  413: ['body-too-large', 'the chunk extensions are too large, or a body is not taken here'],
  431: ['headers-too-large', 'at most 16384 bytes and a limited number of header fields are taken']
}

/** Creates problem documents, and counts them. */
export class CallerRefusals extends EarlyRefusals {
  constructor (private readonly _identifiers: IdentifierSource, private readonly _metrics: Metrics) {
    super()
  }

  /** The outcome of a request that has begun is not known here: its body may have been passed on as far as it was received. */
  override create (status: number, hasBegun: boolean): RefusalDocument {
    const [kind, detail] = REFUSALS[status] ?? ['malformed-request', 'the request is not valid HTTP']
    const refusal = new Refusal(kind, hasBegun ? 'unknown' : 'not-run', detail)
    this._metrics.count(hasBegun ? 'requests.failed' : 'requests.refused', 1, kind)
    return { contentType: 'application/problem+json', body: JSON.stringify(refusal.toProblem(this._identifiers.next())) }
  }
}
