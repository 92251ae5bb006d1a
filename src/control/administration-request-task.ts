/**
 * Handles one operator's request, from its body to the response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Left, Right, type Either } from 'purify-ts/Either'
import { sendProblem } from '../http/send-problem.js'
import { Task } from '../supervision/task.js'
import { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import type { AdministrationRoute } from './administration-route.js'

/** Size limit for a document, in bytes. */
const MAXIMUM_DOCUMENT_BYTES = 1_048_576

/** Reads the document, passes it to the route, and encodes the result as a response. */
export class AdministrationRequestTask extends Task {
  override readonly name = 'administration-request'

  constructor (
    private readonly _route: AdministrationRoute,
    private readonly _head: Omit<AdministrationRequest, 'document'>,
    private readonly _message: IncomingMessage,
    private readonly _response: ServerResponse
  ) {
    super()
  }

  override async run (_signal: AbortSignal): Promise<void> {
    const document = await this._readDocument()
    const result = document.isLeft()
      ? document as unknown as Either<AdministrationProblem, AdministrationResult>
      : await this._route.handle({ ...this._head, document: document.extract() })
    result
      .ifLeft(problem => sendProblem(this._response, problem.toProblem(), problem.status === 503 ? 1 : null))
      .ifRight(success => this._sendResult(success))
  }

  private _sendResult ({ status, document, version }: AdministrationResult): void {
    const body = JSON.stringify(document)
    this._response.statusCode = status
    this._response.setHeader('content-type', 'application/json')
    this._response.setHeader('content-length', Buffer.byteLength(body))
    if (version !== null) this._response.setHeader('etag', `"${version}"`)
    this._response.end(body)
  }

  private async _readDocument (): Promise<Either<AdministrationProblem, unknown>> {
    const chunks: Buffer[] = []
    let size = 0
    try {
      for await (const chunk of this._message) {
        chunks.push(chunk as Buffer)
        size += (chunk as Buffer).length
        if (size > MAXIMUM_DOCUMENT_BYTES) return Left(new AdministrationProblem('too-large', `at most ${MAXIMUM_DOCUMENT_BYTES} bytes are taken`))
      }
      return Right(size === 0 ? null : JSON.parse(Buffer.concat(chunks).toString('utf8')))
    } catch (error) {
      return Left(new AdministrationProblem('malformed', `the document is not JSON: ${(error as Error).message.slice(0, 200)}`))
    }
  }
}
