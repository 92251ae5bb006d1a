/**
 * Handles one caller's request, from its arrival to the end of the response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { context, propagation, SpanKind, trace } from '@opentelemetry/api'
import type { Either } from 'purify-ts/Either'
import type { ClientGuard } from '../http/client-guard.js'
import type { RefusalReason } from '../http/refusal-reason.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { CallerRequest } from './caller-request.js'
import type { CallerRequestParser } from './caller-request-parser.js'
import type { Refusal } from './refusal.js'
import type { RequestService } from './request-service.js'
import { sendProblem } from '../http/send-problem.js'
import type { ServedResponse } from './served-response.js'

/** Bounds on clients that refusals of request tasks belong to, by the kind of the refusal. */
const REASONS: Readonly<Partial<Record<Refusal['kind'], RefusalReason>>> = { 'body-too-large': 'body-size', 'body-too-complex': 'json' }

/** Parses the request, serves it and encodes the response. Ends when the response has been sent or the caller has disconnected. */
export class CallerRequestTask extends Task {
  override readonly name = 'caller-request'
  private readonly _tracer = trace.getTracer('samphireglade')

  constructor (
    private readonly _requestId: string,
    private readonly _message: IncomingMessage,
    private readonly _response: ServerResponse,
    private readonly _parser: CallerRequestParser,
    private readonly _service: RequestService,
    private readonly _guard: ClientGuard,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  /** Ignores the signal: a request that has been accepted is completed during shutdown too. */
  override async run (_signal: AbortSignal): Promise<void> {
    const startedAt = this._clock.now()
    this._response.setHeader('samphireglade-request-id', this._requestId)
    const callerGone = this._watchCaller()
    const parent = propagation.extract(context.active(), this._message.headers)
    await this._tracer.startActiveSpan('request', { kind: SpanKind.SERVER, attributes: { 'samphireglade.request_id': this._requestId } }, parent, async span => {
      const parsed = this._parser.parse(this._message, this._requestId)
      const result = parsed.isLeft()
        ? parsed as unknown as Either<Refusal, ServedResponse>
        : await this._service.serve(parsed.extract() as CallerRequest, callerGone)
      if (result.isLeft()) this._sendRefusal(result.extract() as Refusal)
      else await this._sendResponse(result.extract() as ServedResponse)
      span.setAttribute('http.response.status_code', this._response.statusCode)
      span.end()
    })
    this._metrics.timing('requests.total.milliseconds', this._clock.now() - startedAt)
  }

  private async _sendResponse (served: ServedResponse): Promise<void> {
    this._response.statusCode = served.status
    for (const [name, value] of Object.entries(served.headers)) this._response.setHeader(name, value)
    if (Buffer.isBuffer(served.body)) {
      this._response.end(served.body)
      this._metrics.count('requests.answered')
      return
    }
    try {
      await pipeline(served.body, this._response)
      this._metrics.count('requests.answered')
    } catch {
      // The status has already been sent; closing the connection is the only way left to signal a truncated response.
      this._response.destroy()
      this._metrics.count('requests.cut_answers')
    }
  }

  private _sendRefusal (refusal: Refusal): void {
    this._metrics.count(refusal.outcome === 'not-run' ? 'requests.refused' : 'requests.failed', 1, refusal.kind)
    const reason = REASONS[refusal.kind]
    if (reason) this._guard.addRefusal(reason, this._message.socket.remoteAddress ?? '')
    this._guard.closeUnread(this._message, this._response)
    sendProblem(this._response, refusal.toProblem(this._requestId), refusal.retryAfterSeconds)
  }

  private _watchCaller (): AbortSignal {
    const controller = new AbortController()
    this._response.once('close', () => {
      if (this._response.writableFinished) return
      this._metrics.count('requests.caller_gone')
      controller.abort()
    })
    return controller.signal
  }
}
