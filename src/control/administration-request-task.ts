/**
 * Handles one operator's request, from its body to the response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { BodyRefusal } from '../http/body-refusal.js'
import type { ClientGuard } from '../http/client-guard.js'
import { isJsonWithinBounds } from '../http/json-within-bounds.js'
import type { RequestBodyReader } from '../http/request-body-reader.js'
import { sendProblem } from '../http/send-problem.js'
import { Task } from '../supervision/task.js'
import { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import type { AdministrationRoute } from './administration-route.js'

/** Reads the document, passes it to the route, and encodes the result as a response. */
export class AdministrationRequestTask extends Task {
  override readonly name = 'administration-request'

  constructor (
    private readonly _route: AdministrationRoute,
    private readonly _head: Omit<AdministrationRequest, 'document'>,
    private readonly _message: IncomingMessage,
    private readonly _response: ServerResponse,
    private readonly _bodies: RequestBodyReader,
    private readonly _guard: ClientGuard
  ) {
    super()
  }

  override async run (_signal: AbortSignal): Promise<void> {
    const document = await this._readDocument()
    const result = document.isLeft()
      ? document as unknown as Either<AdministrationProblem, AdministrationResult>
      : await this._route.handle({ ...this._head, document: document.extract() })
    result
      .ifLeft(problem => {
        this._guard.closeUnread(this._message, this._response)
        sendProblem(this._response, problem.toProblem(), problem.status === 503 ? 1 : null)
      })
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
    const body = await this._bodies.read(this._message)
    return body.mapLeft(refusal => this._problemOf(refusal)).chain(bytes => bytes.length === 0 ? Right(null) : this._parse(bytes))
  }

  private _parse (bytes: Buffer): Either<AdministrationProblem, unknown> {
    const { limits } = this._guard
    if (!isJsonWithinBounds(bytes, limits)) {
      this._guard.addRefusal('json', this._message.socket.remoteAddress ?? '')
      return Left(new AdministrationProblem('too-large', `at most ${limits.maximumJsonValues} values and ${limits.maximumJsonDepth} levels are taken`))
    }
    try {
      return Right(JSON.parse(bytes.toString('utf8')))
    } catch (error) {
      return Left(new AdministrationProblem('malformed', `the document is not JSON: ${(error as Error).message.slice(0, 200)}`))
    }
  }

  private _problemOf (refusal: BodyRefusal): AdministrationProblem {
    switch (refusal) {
      case 'too-large': return new AdministrationProblem('too-large', `at most ${this._bodies.maximumBytes} bytes are taken`)
      case 'slow': return new AdministrationProblem('too-slow', 'the document was not received in time')
      case 'dropped': return new AdministrationProblem('overloaded', 'too many documents are being received; send it again')
      case 'disconnected': return new AdministrationProblem('malformed', 'the document was cut short')
    }
  }
}
