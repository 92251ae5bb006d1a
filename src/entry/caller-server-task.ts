/**
 * The HTTP server for callers.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { once } from 'node:events'
import polka from 'polka'
import type { ClientGuard } from '../http/client-guard.js'
import type { Metrics } from '../observability/metrics.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import { aborted } from '../supervision/aborted.js'
import type { Clock } from '../supervision/clock.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import { CallerRefusals } from './caller-refusals.js'
import { CallerRequestParser } from './caller-request-parser.js'
import { CallerRequestTask } from './caller-request-task.js'
import { Refusal } from './refusal.js'
import type { RequestService } from './request-service.js'
import { sendProblem } from '../http/send-problem.js'

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
   * @param _guard bounds what clients can make the process use.
   */
  constructor (
    private readonly _address: SocketAddress,
    private readonly _requestSupervisor: Supervisor,
    private readonly _service: RequestService,
    private readonly _identifiers: IdentifierSource,
    private readonly _isServing: () => boolean,
    private readonly _readinessGraceMilliseconds: number,
    private readonly _guard: ClientGuard,
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
    const application = polka({
      onNoMatch: (message, response) => this._serve(message, response),
      onError: (_error, message, response) => this._serve(message, response)
    })
    application.get('/healthz', (message, response) => {
      this._guard.closeUnread(message, response)
      response.end('alive\n')
    })
    application.get('/readyz', (message, response) => {
      this._guard.closeUnread(message, response)
      this._reportReadiness(response)
    })
    application.use('/queues', (message, response) => { this._serve(message, response) })
    // Called without a third argument, the handler runs its middleware chain; its type declaration wrongly requires one.
    const handle = application.handler as unknown as (message: IncomingMessage, response: ServerResponse) => void
    return this._guard.createStreamingServer(handle, new CallerRefusals(this._identifiers, this._metrics))
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
      this._guard.closeUnread(message, response)
      sendProblem(response, new Refusal('stopping', 'not-run', 'send it again', 1).toProblem(requestId), 1)
      return
    }
    if (!this._isReady) response.setHeader('connection', 'close')
    this._requestSupervisor.start(new CallerRequestTask(requestId, message, response, this._parser, this._service, this._guard, this._clock, this._metrics))
  }
}
