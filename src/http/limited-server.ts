/**
 * HTTP servers that bound what their clients can make the process use.
 */
import { createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../supervision/clock.js'
import type { ClientConnection } from './client-connection.js'
import type { ClientRefusals } from './client-refusals.js'
import { closeAfterResponse } from './close-after-response.js'
import { closeAt } from './close-at.js'
import type { ConnectionTable } from './connection-table.js'
import type { EarlyRefusals } from './early-refusals.js'
import { hasBody } from './has-body.js'
import type { ListenerLimits } from './listener-limits.js'
import type { RefusalReason } from './refusal-reason.js'
import { stopParsing } from './stop-parsing.js'

/** Maximum size of a request's headers in bytes. */
const MAXIMUM_HEADER_BYTES = 16_384

/** Longest interval at which Node looks for requests that are late; its default is 30 s. */
const MAXIMUM_CHECKING_INTERVAL_MILLISECONDS = 1_000

/** Time for which the connection of a refused client stays open without being read. Closed at once, it would be opened again at once, and accepting and reading each costs processor time. */
const REFUSED_MILLISECONDS = 5_000

/** Refused connections that stay open: until a connection is closed Node keeps its pending requests, with about 3 KB each. */
const MAXIMUM_REFUSED_CONNECTIONS = 8

/** Statuses for requests that Node itself gives up, by the code of its error; others are malformed. */
const STATUS_BY_ERROR: Readonly<Record<string, number>> = { HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413 }

/** Passes on the requests that are within the bounds on connections, headers and pending requests, and times out the others. */
export class LimitedServer {
  readonly server: Server
  private _refusedConnections = 0

  constructor (
    private readonly _limits: ListenerLimits, private readonly _connections: ConnectionTable, private readonly _refusals: ClientRefusals,
    private readonly _clock: Clock, private readonly _handle: (request: IncomingMessage, response: ServerResponse) => void, private readonly _documents: EarlyRefusals
  ) {
    const { headersTimeoutMilliseconds, requestTimeoutMilliseconds, keepAliveTimeoutMilliseconds, responseReadTimeoutMilliseconds, maximumHeaderFields } = _limits
    this.server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: headersTimeoutMilliseconds,
      requestTimeout: requestTimeoutMilliseconds,
      keepAliveTimeout: keepAliveTimeoutMilliseconds,
      connectionsCheckingInterval: Math.min(MAXIMUM_CHECKING_INTERVAL_MILLISECONDS, headersTimeoutMilliseconds)
    })
    this.server.timeout = responseReadTimeoutMilliseconds
    // Node drops the fields above this number without an error; one more shows that there are too many.
    this.server.maxHeadersCount = maximumHeaderFields + 1
    this.server.on('connection', socket => this._accept(socket))
    this.server.on('request', (request, response) => this._receive(request, response))
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this._rejectInvalid(error, socket))
    this.server.on('timeout', (socket: Socket) => this._handleTimeout(socket))
  }

  private _accept (socket: Socket): void {
    const connection = this._connections.admit(socket)
    if (connection) stopParsing(socket, () => connection.isIgnored)
  }

  private _receive (request: IncomingMessage, response: ServerResponse): void {
    const connection = this._connections.get(request.socket)
    if (!connection || connection.isIgnored) return
    connection.beginRequest(request, response)
    response.once('close', () => connection.endRequest(this._clock.now()))
    if (connection.pendingRequests > this._limits.maximumPipelinedRequests) {
      this._refusals.add('pipelining', connection.remoteAddress)
      this._stopReading(connection)
      return
    }
    // Microtasks run when all requests of one read have been parsed. If there are too many, none of that read is worked on.
    queueMicrotask(() => {
      if (!connection.isIgnored) this._serve(request, response, connection)
    })
  }

  private _serve (request: IncomingMessage, response: ServerResponse, connection: ClientConnection): void {
    if (request.rawHeaders.length > 2 * this._limits.maximumHeaderFields) this._refuse(request, response, connection, 431, 'headers')
    else if (!this._limits.acceptsBodies && hasBody(request)) this._refuse(request, response, connection, 413, 'body-size')
    else this._handle(request, response)
  }

  private _refuse (request: IncomingMessage, response: ServerResponse, connection: ClientConnection, status: number, reason: RefusalReason): void {
    this._refusals.add(reason, connection.remoteAddress)
    closeAfterResponse(request, response, this._clock)
    const { contentType, body } = this._documents.create(status, false)
    response.statusCode = status
    if (contentType !== '') response.setHeader('content-type', contentType)
    response.end(body)
  }

  /** Ignores the further requests of a connection, and closes it after a while. */
  private _stopReading (connection: ClientConnection): void {
    const { socket } = connection
    connection.isRefused = true
    if (this._refusedConnections >= MAXIMUM_REFUSED_CONNECTIONS) {
      socket.destroy()
      return
    }
    this._refusedConnections += 1
    socket.once('close', () => { this._refusedConnections -= 1 })
    // Node may resume the socket when a response has been sent.
    socket.on('resume', () => socket.pause())
    socket.pause()
    closeAt(socket, this._clock.now() + REFUSED_MILLISECONDS, this._clock)
  }

  /** Responds to input that Node can't parse, or not in time. No request object may exist for it, so the response is written to the socket directly. */
  private _rejectInvalid (error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this._connections.get(socket)
    if (!connection || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    // The parser of a refused connection has been stopped, which Node reports as an error.
    if (connection.isRefused) return
    const status = STATUS_BY_ERROR[error.code ?? ''] ?? 400
    if (status === 431) this._refusals.add('headers', connection.remoteAddress)
    if (status === 408) this._refusals.add(connection.pendingRequests > 0 ? 'slow-body' : 'slow-headers', connection.remoteAddress)
    if (connection.canRespond) {
      const { contentType, body } = this._documents.create(status, connection.pendingRequests > 0)
      const type = contentType === '' ? '' : `content-type: ${contentType}\r\n`
      socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${type}connection: close\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
    }
    socket.destroy()
  }

  /** Closes a connection on which nothing was received or sent, unless it waits for this process. */
  private _handleTimeout (socket: Socket): void {
    const connection = this._connections.get(socket)
    if (connection?.phase === 'serving') {
      socket.setTimeout(this._limits.responseReadTimeoutMilliseconds)
      return
    }
    if (connection?.phase === 'sending') this._refusals.add('slow-reader', connection.remoteAddress)
    socket.destroy()
  }
}
