/**
 * Refusals of operators' requests that are decided before a request task exists.
 */
import { EarlyRefusals } from '../http/early-refusals.js'
import type { RefusalDocument } from '../http/refusal-document.js'
import { AdministrationProblem } from './administration-problem.js'

/** Kind and explanation of a refusal by its status; other statuses are for input that isn't HTTP. */
const REFUSALS: Readonly<Record<number, readonly [AdministrationProblem['kind'], string]>> = {
  408: ['too-slow', 'the request was not received in time'],
  413: ['too-large', 'the chunk extensions are too large'],
  431: ['headers-too-large', 'at most 16384 bytes and a limited number of header fields are taken']
}

/** Creates problem documents. A route is called only with a whole document, so that no refused request has had an effect. */
export class AdministrationRefusals extends EarlyRefusals {
  override create (status: number): RefusalDocument {
    const [kind, detail] = REFUSALS[status] ?? ['malformed', 'the request is not valid HTTP']
    return { contentType: 'application/problem+json', body: JSON.stringify(new AdministrationProblem(kind, detail).toProblem()) }
  }
}
