/**
 * The HTTP server for callers.
 */
import { createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import type { Socket } from 'node:net'
import polka from 'polka'
import type { Metrics } from '../observability/metrics.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import { aborted } from '../supervision/aborted.js'
import type { Clock } from '../supervision/clock.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import { CallerRequestParser } from './caller-request-parser.js'
import { CallerRequestTask } from './caller-request-task.js'
import { Refusal } from './refusal.js'
import type { RequestService } from './request-service.js'
import { sendProblem } from '../http/send-problem.js'

/** Largest head of a request in bytes. */
const MAXIMUM_HEADER_BYTES = 16_384

/** How long a caller may take to send a request's head, in milliseconds. */
const HEADERS_TIMEOUT_MILLISECONDS = 20_000

/** How long a connection between two requests stays open, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 65_000

/** How often the end of the last requests is looked for while stopping, in milliseconds. */
const STOP_CHECK_MILLISECONDS = 20

/**
 * Takes callers' connections and starts a task for each request. At a planned stop it first
 * says so at `/readyz`, serves on until the balancer has noticed, then takes no more and
 * finishes all it has.
 */
export class CallerServerTask extends Task {
  override readonly name = 'caller-server'
  private readonly _parser = new CallerRequestParser()
  private _isReady = false
  private _isClosing = false

  /**
   * @param _requests supervisor of the request tasks.
   * @param _isServing whether the process can serve, apart from a stop of its own.
   * @param _readinessGraceMilliseconds from not ready to no new connections.
   */
  constructor (
    private readonly _address: SocketAddress,
    private readonly _requests: Supervisor,
    private readonly _service: RequestService,
    private readonly _identifiers: IdentifierSource,
    private readonly _isServing: () => boolean,
    private readonly _readinessGraceMilliseconds: number,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const server = this._createServer()
    server.listen(this._address.port, this._address.host)
    await once(server, 'listening')
    this._isReady = true
    await aborted(signal)
    this._isReady = false
    await this._clock.sleepUntil(this._clock.now() + this._readinessGraceMilliseconds)
    this._isClosing = true
    const closed = once(server, 'close')
    server.close()
    server.closeIdleConnections()
    while (this._requests.size > 0) await this._clock.sleepUntil(this._clock.now() + STOP_CHECK_MILLISECONDS)
    // Answers have been handed to the system; connections that stay open are idle.
    server.closeIdleConnections()
    await Promise.race([closed, this._clock.sleepUntil(this._clock.now() + STOP_CHECK_MILLISECONDS * 10)])
    server.closeAllConnections()
  }

  private _createServer (): Server {
    const server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS
    })
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this._refuseUnreadable(error, socket))
    const application = polka({
      server,
      onNoMatch: (message, response) => this._serve(message, response),
      onError: (_error, message, response) => this._serve(message, response)
    })
    application.get('/healthz', (_message, response) => { response.end('alive\n') })
    application.get('/readyz', (_message, response) => this._reportReadiness(response))
    application.use('/queues', (message, response) => { this._serve(message, response) })
    // Without a third argument the handler starts its chain; its type asks for one.
    const handle = application.handler as unknown as (message: IncomingMessage, response: ServerResponse) => void
    server.on('request', (message, response) => { handle(message, response) })
    return server
  }

  private _reportReadiness (response: ServerResponse): void {
    const isReady = this._isReady && this._isServing()
    response.statusCode = isReady ? 200 : 503
    response.end(isReady ? 'ready\n' : 'not ready\n')
  }

  private _serve (message: IncomingMessage & { originalUrl?: string }, response: ServerResponse): void {
    // Middleware sees a path cut short; the parser needs the whole.
    message.url = message.originalUrl ?? message.url ?? ''
    const requestId = this._identifiers.next()
    if (this._isClosing) {
      response.setHeader('connection', 'close')
      sendProblem(response, new Refusal('stopping', 'not-run', 'send it again', 1).toProblem(requestId), 1)
      return
    }
    if (!this._isReady) response.setHeader('connection', 'close')
    this._requests.start(new CallerRequestTask(requestId, message, response, this._parser, this._service, this._clock, this._metrics))
  }

  /** What Node cannot parse never becomes a request object; the answer is written to the socket by hand, as Node's manual has it. */
  private _refuseUnreadable (error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const kind = error.code === 'HPE_HEADER_OVERFLOW' ? 'headers-too-large' : 'malformed-request'
    const refusal = new Refusal(kind, 'not-run', kind === 'headers-too-large' ? `at most ${MAXIMUM_HEADER_BYTES} bytes of headers are taken` : 'the request is not valid HTTP')
    this._metrics.count('requests.refused', 1, kind)
    const body = JSON.stringify(refusal.toProblem(this._identifiers.next()))
    const head = [
      `HTTP/1.1 ${refusal.status} ${STATUS_CODES[refusal.status]}`,
      'content-type: application/problem+json',
      `content-length: ${Buffer.byteLength(body)}`,
      'connection: close'
    ]
    socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
  }
}
