/**
 * Refusals and failures that the system itself reports to callers.
 */
import type { Problem } from '../schemas/problem.js'
import type { RequestOutcome } from '../schemas/request-outcome.js'

/** Prefix of the problem type URIs. */
const TYPE_PREFIX = 'urn:samphireglade:problem:'

/** HTTP status and title of each kind of problem. */
const PROBLEM_KINDS = {
  'malformed-request': [400, 'The request is malformed'],
  'key-invalid': [401, 'The key is missing, unknown or withdrawn'],
  'key-not-for-queue': [403, 'The key doesn\'t open this queue'],
  'queue-unknown': [404, 'There is no such queue'],
  'task-unknown': [404, 'There is no such task'],
  'idempotency-key-reused': [422, 'The idempotency key was used for another request'],
  'body-too-large': [413, 'The request body is too large'],
  'body-too-complex': [413, 'The request body has too many values or levels'],
  'request-too-slow': [408, 'The request was not received in time'],
  'too-many-bodies': [503, 'Too many request bodies are being received'],
  'headers-too-large': [431, 'The request headers are too large'],
  'queue-full': [429, 'Too much of the team\'s work is waiting'],
  'team-limit': [429, 'The team is at its upper limit'],
  'no-capacity': [503, 'No endpoint can take the request'],
  'claims-unavailable': [503, 'The idempotency key cannot be claimed now'],
  'view-stale': [503, 'This entry VM is cut off from the configuration'],
  stopping: [503, 'This entry VM is stopping'],
  'deadline-passed': [504, 'The deadline passed'],
  'endpoint-failed': [502, 'The endpoint gave no whole answer'],
  'answer-not-kept': [409, 'The request ran before; its answer isn\'t kept'],
  'outcome-unknown': [409, 'The request was sent before; its outcome isn\'t known']
} as const

/** A refusal or failure, independent of its encoding. */
export class Refusal {
  readonly status: number
  private readonly _title: string

  /**
   * @param kind stable kind of the problem.
   * @param outcome whether the request has run.
   * @param detail explanation for people; must not contain a key.
   * @param retryAfterSeconds time after which a retry may succeed, or null.
   */
  constructor (
    readonly kind: keyof typeof PROBLEM_KINDS,
    readonly outcome: RequestOutcome,
    readonly detail: string,
    readonly retryAfterSeconds: number | null = null
  ) {
    [this.status, this._title] = PROBLEM_KINDS[kind]
  }

  /** Returns the problem document. */
  toProblem (requestId: string): Problem {
    return {
      type: TYPE_PREFIX + this.kind,
      title: this._title,
      status: this.status,
      detail: this.detail,
      outcome: this.outcome,
      requestId
    }
  }
}
