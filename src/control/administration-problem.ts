/**
 * The reason why an operator's request failed.
 */
import type { Finding } from '../schemas/finding.js'
import type { Problem } from '../schemas/problem.js'
import type { RequestOutcome } from '../schemas/request-outcome.js'

/** HTTP statuses by kind. */
const STATUSES = {
  malformed: 400,
  unauthorized: 401,
  'not-found': 404,
  'too-slow': 408,
  refused: 409,
  'version-conflict': 412,
  'too-large': 413,
  'headers-too-large': 431,
  invalid: 422,
  overloaded: 503
} as const

/** A failed request, with all findings. */
export class AdministrationProblem {
  /**
   * @param kind stable identifier of the problem, part of its URN.
   * @param detail explanation for people.
   * @param findings all errors found in the request.
   * @param outcome outcome of the request. Default: `not-run`, because a refused change has no effect.
   */
  constructor (
    readonly kind: keyof typeof STATUSES,
    readonly detail: string,
    readonly findings: readonly Finding[] = [],
    readonly outcome: RequestOutcome = 'not-run'
  ) {}

  /** HTTP status of the response. */
  get status (): number {
    return STATUSES[this.kind]
  }

  /** Builds the problem document. */
  toProblem (): Problem {
    return {
      type: `urn:samphireglade:problem:${this.kind}`,
      title: this.kind.replace('-', ' '),
      status: this.status,
      detail: this.detail,
      outcome: this.outcome,
      findings: [...this.findings]
    }
  }
}
