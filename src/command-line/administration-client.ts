/**
 * A client of the administration interface.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import { request } from 'undici'
import * as z from 'zod'
import { Problem } from '../schemas/problem.js'
import { CommandError } from './command-error.js'

/** Limit on one answer, in milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 10_000

/** A document of any of the interface's answers. */
const AnswerDocument = z.record(z.string(), z.json())
type AnswerDocument = z.infer<typeof AnswerDocument>

/** One call. */
interface AdministrationCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path below `/admin/v1`. */
  readonly path: string
  readonly document?: object
  readonly changeId?: string
  /** Version that the change is based on. */
  readonly ifMatch?: number
}

/** Calls the control daemons, the next one when one doesn't answer. */
export class AdministrationClient {
  /**
   * @param _servers base URLs, such as http://10.0.0.1:7080.
   * @param _token of the operator.
   */
  constructor (private readonly _servers: readonly string[], private readonly _token: string) {}

  /**
   * Makes a call. A change is tried at the next server only under the same change id, so
   * that it is made once even if an answer was lost.
   */
  async call (call: AdministrationCall): Promise<Either<CommandError, AnswerDocument>> {
    let failure = new CommandError('unreachable', 'no server is given')
    for (const server of this._servers) {
      const answer = await this._callOne(server, call)
      if (answer.isRight()) return answer
      failure = answer.extract() as CommandError
      const isFinal = failure.kind !== 'unreachable' || (call.method !== 'GET' && call.changeId === undefined)
      if (isFinal) return Left(failure)
    }
    return Left(failure)
  }

  private async _callOne (server: string, call: AdministrationCall): Promise<Either<CommandError, AnswerDocument>> {
    try {
      const { statusCode, body } = await request(`${server}/admin/v1${call.path}`, {
        method: call.method,
        headers: this._headers(call),
        body: call.document ? JSON.stringify(call.document) : null,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS)
      })
      const document: unknown = await body.json()
      return statusCode < 400 ? Right(AnswerDocument.parse(document)) : Left(this._errorOf(statusCode, document))
    } catch (error) {
      return Left(new CommandError('unreachable', `${server}: ${(error as Error).message}`))
    }
  }

  private _headers (call: AdministrationCall): Record<string, string> {
    const headers: Record<string, string> = { authorization: `Bearer ${this._token}` }
    if (call.document) headers['content-type'] = 'application/json'
    if (call.changeId !== undefined) headers['samphireglade-change-id'] = call.changeId
    if (call.ifMatch !== undefined) headers['if-match'] = `"${call.ifMatch}"`
    return headers
  }

  private _errorOf (status: number, document: unknown): CommandError {
    const problem = Problem.safeParse(document)
    if (!problem.success) return new CommandError('unreachable', `server answered ${status}`)
    const { detail, findings } = problem.data
    return new CommandError(status === 503 ? 'unreachable' : 'refused', detail, findings ?? [])
  }
}
