/**
 * One caller's request from its arrival to its answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { context, propagation, SpanKind, trace } from '@opentelemetry/api'
import type { Either } from 'purify-ts/Either'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { CallerRequest } from './caller-request.js'
import type { CallerRequestParser } from './caller-request-parser.js'
import type { Refusal } from './refusal.js'
import type { RequestService } from './request-service.js'
import { sendProblem } from '../http/send-problem.js'
import type { ServedResponse } from './served-response.js'

/** Parses, has the request served, and encodes the answer. It ends when the caller has all of it or has left. */
export class CallerRequestTask extends Task {
  override readonly name = 'caller-request'
  private readonly _tracer = trace.getTracer('samphireglade')

  constructor (
    private readonly _requestId: string,
    private readonly _message: IncomingMessage,
    private readonly _response: ServerResponse,
    private readonly _parser: CallerRequestParser,
    private readonly _service: RequestService,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  /** The signal is not used: a request that has begun is finished also when the process stops. */
  override async run (_signal: AbortSignal): Promise<void> {
    const startedAt = this._clock.now()
    this._response.setHeader('samphireglade-request-id', this._requestId)
    const callerGone = this._watchCaller()
    const parent = propagation.extract(context.active(), this._message.headers)
    await this._tracer.startActiveSpan('request', { kind: SpanKind.SERVER, attributes: { 'samphireglade.request_id': this._requestId } }, parent, async span => {
      const parsed = this._parser.parse(this._message, this._requestId)
      const answer = parsed.isLeft()
        ? parsed as unknown as Either<Refusal, ServedResponse>
        : await this._service.serve(parsed.extract() as CallerRequest, callerGone)
      if (answer.isLeft()) this._refuse(answer.extract() as Refusal)
      else await this._answer(answer.extract() as ServedResponse)
      span.setAttribute('http.response.status_code', this._response.statusCode)
      span.end()
    })
    this._metrics.timing('requests.total.milliseconds', this._clock.now() - startedAt)
  }

  private async _answer (answer: ServedResponse): Promise<void> {
    this._response.statusCode = answer.status
    for (const [name, value] of Object.entries(answer.headers)) this._response.setHeader(name, value)
    if (Buffer.isBuffer(answer.body)) {
      this._response.end(answer.body)
      this._metrics.count('requests.answered')
      return
    }
    try {
      await pipeline(answer.body, this._response)
      this._metrics.count('requests.answered')
    } catch {
      // The head has gone out, so the break of the connection is what tells the caller that the answer isn't whole.
      this._response.destroy()
      this._metrics.count('requests.cut_answers')
    }
  }

  private _refuse (refusal: Refusal): void {
    this._metrics.count(refusal.outcome === 'not-run' ? 'requests.refused' : 'requests.failed', 1, refusal.kind)
    // What is left of the body isn't read; the connection is of no more use.
    if (!this._message.complete) this._response.setHeader('connection', 'close')
    sendProblem(this._response, refusal.toProblem(this._requestId), refusal.retryAfterSeconds)
  }

  private _watchCaller (): AbortSignal {
    const gone = new AbortController()
    this._response.once('close', () => {
      if (this._response.writableFinished) return
      this._metrics.count('requests.caller_gone')
      gone.abort()
    })
    return gone.signal
  }
}
