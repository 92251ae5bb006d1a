/**
 * Why an operator's request failed.
 */
import type { Finding } from '../schemas/finding.js'
import type { Problem } from '../schemas/problem.js'
import type { RequestOutcome } from '../schemas/request-outcome.js'

/** HTTP status of each kind. */
const STATUSES = {
  malformed: 400,
  unauthorized: 401,
  'not-found': 404,
  refused: 409,
  'version-conflict': 412,
  'too-large': 413,
  invalid: 422,
  overloaded: 503
} as const

/** A problem with all its findings. */
export class AdministrationProblem {
  /**
   * @param kind stable kind.
   * @param detail for people.
   * @param findings everything found wrong.
   * @param outcome `not-run` unless said otherwise: a refused change has changed nothing.
   */
  constructor (
    readonly kind: keyof typeof STATUSES,
    readonly detail: string,
    readonly findings: readonly Finding[] = [],
    readonly outcome: RequestOutcome = 'not-run'
  ) {}

  /** Status of the answer. */
  get status (): number {
    return STATUSES[this.kind]
  }

  /** The problem document. */
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
