/**
 * HTTP client of the administration interface.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import { request } from 'undici'
import * as z from 'zod'
import { Problem } from '../schemas/problem.js'
import { CommandError } from './command-error.js'

/** Time limit for the response of one server. */
const RESPONSE_TIMEOUT_MILLISECONDS = 10_000

/** JSON object in the body of any successful response. */
const ResponseDocument = z.record(z.string(), z.json())
type ResponseDocument = z.infer<typeof ResponseDocument>

/** A call of the administration interface. */
interface AdministrationCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path below `/admin/v1`. */
  readonly path: string
  readonly document?: object
  readonly changeId?: string
  /** Version that the change is based on; the server refuses the change if the object has another one. */
  readonly ifMatch?: number
}

/** Calls the control daemons in order until one responds. */
export class AdministrationClient {
  /**
   * @param _servers base URLs of the control daemons, such as http://10.0.0.1:7080.
   * @param _token bearer token of the operator.
   */
  constructor (private readonly _servers: readonly string[], private readonly _token: string) {}

  /**
   * Makes a call. If a server doesn't respond, the next one is called; a change only if it has a change ID,
   * so that it is made at most once even if a response was lost.
   */
  async call (call: AdministrationCall): Promise<Either<CommandError, ResponseDocument>> {
    let lastError = new CommandError('unreachable', 'no server address is given')
    for (const server of this._servers) {
      const response = await this._callServer(server, call)
      if (response.isRight()) return response
      lastError = response.extract() as CommandError
      const isFinal = lastError.kind !== 'unreachable' || (call.method !== 'GET' && call.changeId === undefined)
      if (isFinal) return Left(lastError)
    }
    return Left(lastError)
  }

  private async _callServer (server: string, call: AdministrationCall): Promise<Either<CommandError, ResponseDocument>> {
    try {
      const { statusCode, body } = await request(`${server}/admin/v1${call.path}`, {
        method: call.method,
        headers: this._headers(call),
        body: call.document ? JSON.stringify(call.document) : null,
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS)
      })
      const document: unknown = await body.json()
      return statusCode < 400 ? Right(ResponseDocument.parse(document)) : Left(this._toCommandError(statusCode, document))
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

  private _toCommandError (status: number, document: unknown): CommandError {
    const problem = Problem.safeParse(document)
    if (!problem.success) return new CommandError('unreachable', `the server responded with status ${status} and no problem document`)
    const { detail, findings } = problem.data
    return new CommandError(status === 503 ? 'unreachable' : 'refused', detail, findings ?? [])
  }
}
