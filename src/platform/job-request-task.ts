/**
 * The task that serves one HTTP request of a caller.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { SpanStatusCode, trace } from '@opentelemetry/api'
import type { BodyRefusal } from '../http/body-refusal.js'
import { closeAfterResponse } from '../http/close-after-response.js'
import type { ClientGuard } from '../http/client-guard.js'
import { isJsonWithinBounds } from '../http/json-within-bounds.js'
import type { RequestBodyReader } from '../http/request-body-reader.js'
import { Right } from 'purify-ts/Either'
import type { JobResponse } from '../jobs/job-response.js'
import type { JobRequest } from '../jobs/job-request.js'
import type { JobService } from '../jobs/job-service.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import { parseJson } from './parse-json.js'
import { WireJob } from './wire-job.js'

/** Timeout of requests without a `deadline-ms` header, in milliseconds. */
const DEFAULT_TIMEOUT_MILLISECONDS = 3_000

/** Format of job IDs, which callers choose. */
const JOB_ID = /^[0-9a-f]{16}$/

/** Time after which a caller whose body was dropped for others should retry, in milliseconds: the bodies that hold the memory are given up within seconds. */
const DROPPED_RETRY_MILLISECONDS = 1_000

/** Content of an HTTP response. */
interface Reply {
  readonly status: number
  readonly body?: object
  /** Epoch milliseconds at which the caller should retry. */
  readonly retryAt?: number
}

/** Parses the request, calls the job service and writes the response. */
export class JobRequestTask extends Task {
  override readonly name = 'call'

  constructor (
    private readonly _request: IncomingMessage, private readonly _response: ServerResponse, private readonly _service: JobService,
    private readonly _bodies: RequestBodyReader, private readonly _guard: ClientGuard, private readonly _clock: Clock
  ) {
    super()
  }

  override async run (): Promise<void> {
    const { method = '', url = '/' } = this._request
    const span = trace.getTracer('samphireglade').startSpan('job call', { attributes: { method } })
    try {
      const reply = await this._handle(method, url.split('?')[0] ?? '/')
      if (reply !== null && reply.status >= 500) span.setStatus({ code: SpanStatusCode.ERROR })
      if (reply === null) this._response.destroy()
      else this._send(reply)
    } catch (error) {
      // The caller has disconnected, or the request failed unexpectedly: there is no response to send.
      this._response.destroy()
      throw error
    } finally {
      span.end()
    }
  }

  /** Returns the reply, or null if the caller has disconnected. */
  private async _handle (method: string, path: string): Promise<Reply | null> {
    const jobRequest = this._parseJobRequest(path)
    const id = path.slice(path.lastIndexOf('/') + 1)
    if (method === 'GET' && id === '') return this._replyTo(this._service.countPending(jobRequest))
    if (method !== 'GET' && method !== 'POST' && method !== 'DELETE') return { status: 405, body: { error: 'only GET, POST and DELETE' } }
    const read = method === 'POST' ? await this._bodies.read(this._request) : Right<Buffer, BodyRefusal>(Buffer.alloc(0))
    if (read.isLeft()) return this._replyToRefusal(read.extract() as BodyRefusal)
    const body = read.unsafeCoerce()
    // If the path belongs to no queue, the response says so even when the job ID is malformed.
    if (!JOB_ID.test(id)) return this._replyTo(this._service.countPending(jobRequest), { status: 400, body: { error: 'an ID has 16 hexadecimal digits' } })
    if (method === 'GET') return this._replyTo(await this._service.state(jobRequest, id))
    if (method === 'DELETE') return this._replyTo(await this._service.cancel(jobRequest, id))
    if (!isJsonWithinBounds(body, this._guard.limits)) {
      this._guard.addRefusal('json', this._request.socket.remoteAddress ?? '')
      return { status: 413, body: { error: `a body may have at most ${this._guard.limits.maximumJsonValues} values and ${this._guard.limits.maximumJsonDepth} levels` } }
    }
    return parseJson(WireJob, body).caseOf<Reply | Promise<Reply>>({
      Left: error => this._replyTo(this._service.countPending(jobRequest), { status: 400, body: { error } }),
      Right: async job => this._replyTo(await this._service.submit(jobRequest, id, job))
    })
  }

  private _parseJobRequest (path: string): JobRequest {
    const { headers } = this._request
    const milliseconds = Number(headers['deadline-ms'])
    const [scheme, key = ''] = (headers.authorization ?? '').split(' ')
    return {
      host: (headers.host ?? '').split(':')[0] ?? '',
      path,
      key: scheme === 'Bearer' ? key : '',
      deadline: this._clock.now() + (milliseconds > 0 ? milliseconds : DEFAULT_TIMEOUT_MILLISECONDS)
    }
  }

  /**
   * Converts the response of the job service to HTTP.
   *
   * @param whenAdmitted reply that replaces the count of pending jobs, for requests that only need access to the queue.
   */
  private _replyTo (jobResponse: JobResponse, whenAdmitted?: Reply): Reply {
    switch (jobResponse.kind) {
      case 'accepted': return { status: 200, body: {} }
      case 'cancelled': return { status: 200, body: {} }
      case 'state': return { status: 200, body: { state: jobResponse.state } }
      case 'pending': return whenAdmitted ?? { status: 200, body: { pending: jobResponse.count } }
      case 'too-large': return { status: 413, body: { error: 'the job is too large to be stored' } }
      case 'no-queue': return { status: 404, body: { error: 'no such queue' } }
      case 'no-job': return { status: 410, body: { error: 'no such job' } }
      case 'unauthorized': return { status: 401, body: { error: 'unknown key' } }
      case 'unknown': return { status: 504, body: { error: 'the outcome is not known; ask again' } }
      case 'overloaded': return { status: 429, body: { error: 'not run: too much work is waiting' }, retryAt: jobResponse.retryAt }
      case 'not-run': return { status: 503, body: { error: 'not run' }, retryAt: jobResponse.retryAt }
      case 'unsure': return { status: 503, body: { error: 'this process cannot tell at present' }, retryAt: jobResponse.retryAt }
    }
  }

  private _send ({ status, body, retryAt }: Reply): void {
    const { _response: response } = this
    if (response.destroyed) return
    const retryAfterMilliseconds = retryAt === undefined ? null : Math.max(0, Math.round(retryAt - this._clock.now()))
    const text = JSON.stringify(retryAfterMilliseconds === null ? body ?? {} : { ...body, retry_after_ms: retryAfterMilliseconds })
    if (!this._request.complete) closeAfterResponse(this._request, response, this._clock)
    response.statusCode = status
    response.setHeader('content-type', 'application/json')
    response.setHeader('content-length', Buffer.byteLength(text))
    if (retryAfterMilliseconds !== null) response.setHeader('retry-after', String(Math.ceil(retryAfterMilliseconds / 1_000)))
    response.end(text)
  }

  private _replyToRefusal (refusal: BodyRefusal): Reply | null {
    switch (refusal) {
      case 'too-large': return { status: 413, body: { error: `a body may have at most ${this._bodies.maximumBytes} bytes` } }
      case 'slow': return { status: 408, body: { error: 'not run: the body was not received in time' } }
      case 'dropped': return { status: 503, body: { error: 'not run: too many bodies are being received' }, retryAt: this._clock.now() + DROPPED_RETRY_MILLISECONDS }
      case 'disconnected': return null
    }
  }
}
