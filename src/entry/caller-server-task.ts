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

/** Limit on the request line and headers together. */
const MAXIMUM_HEADER_BYTES = 16_384

/** Time limit for receiving a request's headers. */
const HEADERS_TIMEOUT_MILLISECONDS = 20_000

/** Time for which a connection stays open between two requests. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 65_000

/** Interval at which shutdown checks whether all requests have completed. */
const STOP_POLL_INTERVAL_MILLISECONDS = 20

/**
 * Accepts callers' connections and starts a task for each request. A graceful shutdown
 * first reports not ready at `/readyz` and keeps serving for a grace period, so that the
 * load balancer can stop sending requests here, then refuses new requests and completes
 * those that are in progress.
 */
export class CallerServerTask extends Task {
  override readonly name = 'caller-server'
  private readonly _parser = new CallerRequestParser()
  private _isReady = false
  private _isClosing = false

  /**
   * @param _requestSupervisor supervisor of the request tasks.
   * @param _isServing whether the process can serve requests; shutdown is handled separately.
   * @param _readinessGraceMilliseconds time between reporting not ready and refusing new connections.
   */
  constructor (
    private readonly _address: SocketAddress,
    private readonly _requestSupervisor: Supervisor,
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
    while (this._requestSupervisor.size > 0) await this._clock.sleepUntil(this._clock.now() + STOP_POLL_INTERVAL_MILLISECONDS)
    // All responses have been passed to the operating system, so connections that are still open are idle.
    server.closeIdleConnections()
    await Promise.race([closed, this._clock.sleepUntil(this._clock.now() + STOP_POLL_INTERVAL_MILLISECONDS * 10)])
    server.closeAllConnections()
  }

  private _createServer (): Server {
    const server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS
    })
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this._rejectInvalidRequest(error, socket))
    const application = polka({
      server,
      onNoMatch: (message, response) => this._serve(message, response),
      onError: (_error, message, response) => this._serve(message, response)
    })
    application.get('/healthz', (_message, response) => { response.end('alive\n') })
    application.get('/readyz', (_message, response) => this._reportReadiness(response))
    application.use('/queues', (message, response) => { this._serve(message, response) })
    // Called without a third argument, the handler runs its middleware chain; its type declaration wrongly requires one.
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
    // Polka strips the mount path for middleware; the parser needs the full path.
    message.url = message.originalUrl ?? message.url ?? ''
    const requestId = this._identifiers.next()
    if (this._isClosing) {
      response.setHeader('connection', 'close')
      sendProblem(response, new Refusal('stopping', 'not-run', 'send it again', 1).toProblem(requestId), 1)
      return
    }
    if (!this._isReady) response.setHeader('connection', 'close')
    this._requestSupervisor.start(new CallerRequestTask(requestId, message, response, this._parser, this._service, this._clock, this._metrics))
  }

  /**
   * Responds to input that Node can't parse as HTTP. No request object exists for it, so the
   * response is written to the socket directly, as the Node documentation describes.
   */
  private _rejectInvalidRequest (error: NodeJS.ErrnoException, socket: Socket): void {
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
