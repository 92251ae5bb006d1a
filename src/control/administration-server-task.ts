/**
 * The HTTP server for operators.
 */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Left, Right, type Either } from 'purify-ts/Either'
import polka from 'polka'
import type { ClientGuard } from '../http/client-guard.js'
import type { RequestBodyReader } from '../http/request-body-reader.js'
import { sendProblem } from '../http/send-problem.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import { aborted } from '../supervision/aborted.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import { AdministrationProblem } from './administration-problem.js'
import { AdministrationRefusals } from './administration-refusals.js'
import { AdministrationRequestTask } from './administration-request-task.js'
import type { AdministrationRoute } from './administration-route.js'
import { openApiDocument } from './open-api-document.js'
import type { OperatorTokens } from './operator-tokens.js'

/** Limit on the length of a change id, in characters. */
const MAXIMUM_CHANGE_ID_CHARACTERS = 128

/** Size limit for a document, in bytes. */
const MAXIMUM_DOCUMENT_BYTES = 1_048_576

/** Accepts operators' connections and starts a task for each request. */
export class AdministrationServerTask extends Task {
  override readonly name = 'administration-server'
  private readonly _bodies: RequestBodyReader

  /**
   * @param _requestSupervisor supervisor of the request tasks.
   * @param _guard bounds what clients can make the process use.
   */
  constructor (
    private readonly _address: SocketAddress,
    private readonly _requestSupervisor: Supervisor,
    private readonly _routes: readonly AdministrationRoute[],
    private readonly _tokens: OperatorTokens,
    private readonly _identifiers: IdentifierSource,
    private readonly _isReady: () => boolean,
    private readonly _guard: ClientGuard
  ) {
    super()
    this._bodies = _guard.createBodyReader(() => MAXIMUM_DOCUMENT_BYTES)
  }

  override async run (signal: AbortSignal): Promise<void> {
    const application = polka({
      onNoMatch: (message, response) => this._notFound(message, response),
      onError: (_error, message, response) => this._notFound(message, response)
    })
    application.get('/healthz', (message, response) => {
      this._guard.closeUnread(message, response)
      response.end('alive\n')
    })
    application.get('/readyz', (message, response) => {
      this._guard.closeUnread(message, response)
      response.statusCode = this._isReady() ? 200 : 503
      response.end()
    })
    application.get('/admin/v1/openapi.json', (message, response) => {
      this._guard.closeUnread(message, response)
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify(openApiDocument(this._routes)))
    })
    for (const route of this._routes) {
      application.add(route.method, `/admin/v1${route.path}`, (message, response) => this._serve(route, message, response, message.params))
    }
    const handle = application.handler as unknown as (message: IncomingMessage, response: ServerResponse) => void
    const server = this._guard.createServer(handle, new AdministrationRefusals())
    server.listen(this._address.port, this._address.host)
    await once(server, 'listening')
    await aborted(signal)
    server.close()
    server.closeIdleConnections()
  }

  private _serve (route: AdministrationRoute, message: IncomingMessage, response: ServerResponse, parameters: Record<string, string>): void {
    const request = this._authenticate(message).chain(operator => this._headersOf(message).map(headers => ({ operator, ...headers })))
    if (request.isLeft()) {
      this._guard.closeUnread(message, response)
      sendProblem(response, (request.extract() as AdministrationProblem).toProblem(), null)
      return
    }
    request.ifRight(head => this._requestSupervisor.start(new AdministrationRequestTask(route, { ...head, parameters }, message, response, this._bodies, this._guard)))
  }

  private _authenticate (message: IncomingMessage): Either<AdministrationProblem, string> {
    const match = /^Bearer +(\S+)$/i.exec(message.headers.authorization ?? '')
    return this._tokens.operatorOf(match?.[1] ?? '').toEither(new AdministrationProblem('unauthorized', 'the operator token is missing or unknown'))
  }

  private _headersOf (message: IncomingMessage): Either<AdministrationProblem, { changeId: string, expectedVersion: number | null }> {
    const changeIdHeader = message.headers['samphireglade-change-id']
    const changeId = changeIdHeader === undefined ? this._identifiers.next() : String(changeIdHeader)
    if (changeId.length === 0 || changeId.length > MAXIMUM_CHANGE_ID_CHARACTERS) {
      return Left(new AdministrationProblem('malformed', `Samphireglade-Change-Id must have 1 to ${MAXIMUM_CHANGE_ID_CHARACTERS} characters`))
    }
    return this._expectedVersion(message).map(expectedVersion => ({ changeId, expectedVersion }))
  }

  /** Version that the object must have: 0 (it must not exist) for `If-None-Match: *`, the version in `If-Match`, or null for neither. */
  private _expectedVersion (message: IncomingMessage): Either<AdministrationProblem, number | null> {
    if (message.headers['if-none-match'] === '*') return Right(0)
    const match = message.headers['if-match']
    if (match === undefined || match === '*') return Right(null)
    const version = /^"(\d{1,15})"$/.exec(match)
    if (version) return Right(Number(version[1]))
    return Left(new AdministrationProblem('malformed', 'If-Match must be a version in quotes, as ETag has it'))
  }

  private _notFound (message: IncomingMessage, response: ServerResponse): void {
    this._guard.closeUnread(message, response)
    sendProblem(response, new AdministrationProblem('not-found', 'there is no such path').toProblem(), null)
  }
}
