/**
 * The HTTP server for operators.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { Left, Right, type Either } from 'purify-ts/Either'
import polka from 'polka'
import { sendProblem } from '../http/send-problem.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import { aborted } from '../supervision/aborted.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import { AdministrationProblem } from './administration-problem.js'
import { AdministrationRequestTask } from './administration-request-task.js'
import type { AdministrationRoute } from './administration-route.js'
import { openApiDocument } from './open-api-document.js'
import type { OperatorTokens } from './operator-tokens.js'

/** Limit on the length of a change id, in characters. */
const MAXIMUM_CHANGE_ID_CHARACTERS = 128

/** Accepts operators' connections and starts a task for each request. */
export class AdministrationServerTask extends Task {
  override readonly name = 'administration-server'

  /** @param _requestSupervisor supervisor of the request tasks. */
  constructor (
    private readonly _address: SocketAddress,
    private readonly _requestSupervisor: Supervisor,
    private readonly _routes: readonly AdministrationRoute[],
    private readonly _tokens: OperatorTokens,
    private readonly _identifiers: IdentifierSource,
    private readonly _isReady: () => boolean
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const server = createServer()
    const application = polka({
      server,
      onNoMatch: (_message, response) => this._notFound(response)
    })
    application.get('/healthz', (_message, response) => { response.end('alive\n') })
    application.get('/readyz', (_message, response) => {
      response.statusCode = this._isReady() ? 200 : 503
      response.end()
    })
    application.get('/admin/v1/openapi.json', (_message, response) => {
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify(openApiDocument(this._routes)))
    })
    for (const route of this._routes) {
      application.add(route.method, `/admin/v1${route.path}`, (message, response) => this._serve(route, message, response, message.params))
    }
    const handle = application.handler as unknown as (message: IncomingMessage, response: ServerResponse) => void
    server.on('request', (message, response) => { handle(message, response) })
    server.listen(this._address.port, this._address.host)
    await once(server, 'listening')
    await aborted(signal)
    server.close()
    server.closeIdleConnections()
  }

  private _serve (route: AdministrationRoute, message: IncomingMessage, response: ServerResponse, parameters: Record<string, string>): void {
    const request = this._authenticate(message).chain(operator => this._headersOf(message).map(headers => ({ operator, ...headers })))
    if (request.isLeft()) {
      sendProblem(response, (request.extract() as AdministrationProblem).toProblem(), null)
      message.resume()
      return
    }
    request.ifRight(head => this._requestSupervisor.start(new AdministrationRequestTask(route, { ...head, parameters }, message, response)))
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

  private _notFound (response: ServerResponse): void {
    sendProblem(response, new AdministrationProblem('not-found', 'there is no such path').toProblem(), null)
  }
}
