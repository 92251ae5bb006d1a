/**
 * One request of a caller.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { SpanStatusCode, trace } from '@opentelemetry/api'
import type { JobResponse } from '../jobs/job-response.js'
import type { JobRequest } from '../jobs/job-request.js'
import type { JobService } from '../jobs/job-service.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import { parseJson } from './parse-json.js'
import { WireJob } from './wire-job.js'

/** Deadline of requests that name none, in milliseconds. */
const DEFAULT_DEADLINE_MILLISECONDS = 3_000

/** What callers choose as IDs. */
const ID = /^[0-9a-f]{16}$/

/** An answer on the wire. */
interface Reply {
  readonly status: number
  readonly body?: object
  /** Epoch milliseconds at which to come back. */
  readonly retryAt?: number
}

/** Reads the request, asks the service, writes the answer. */
export class JobRequestTask extends Task {
  override readonly name = 'call'

  constructor (
    private readonly _request: IncomingMessage, private readonly _response: ServerResponse, private readonly _service: JobService,
    private readonly _maximumBodyBytes: number, private readonly _clock: Clock
  ) {
    super()
  }

  override async run (): Promise<void> {
    const { method = '', url = '/' } = this._request
    const span = trace.getTracer('samphireglade').startSpan('job call', { attributes: { method } })
    try {
      const reply = await this._answer(method, url.split('?')[0] ?? '/')
      if (reply.status >= 500) span.setStatus({ code: SpanStatusCode.ERROR })
      this._send(reply)
    } catch (error) {
      // A caller that breaks off has no answer to get.
      this._response.destroy()
      throw error
    } finally {
      span.end()
    }
  }

  private async _answer (method: string, path: string): Promise<Reply> {
    const call = this._call(path)
    const id = path.slice(path.lastIndexOf('/') + 1)
    if (method === 'GET' && id === '') return this._reply(this._service.countPending(call))
    if (method !== 'GET' && method !== 'POST' && method !== 'DELETE') return { status: 405, body: { error: 'only GET, POST and DELETE' } }
    const body = method === 'POST' ? await this._readBody() : null
    if (method === 'POST' && body === null) return { status: 413, body: { error: `a body may have at most ${this._maximumBodyBytes} bytes` } }
    // A path that belongs to no queue is answered as such, whatever its last part looks like.
    if (!ID.test(id)) return this._reply(this._service.countPending(call), { status: 400, body: { error: 'an ID has 16 hexadecimal digits' } })
    if (method === 'GET') return this._reply(await this._service.state(call, id))
    if (method === 'DELETE') return this._reply(await this._service.cancel(call, id))
    return parseJson(WireJob, body ?? Buffer.alloc(0)).caseOf<Reply | Promise<Reply>>({
      Left: error => this._reply(this._service.countPending(call), { status: 400, body: { error } }),
      Right: async job => this._reply(await this._service.submit(call, id, job))
    })
  }

  private _call (path: string): JobRequest {
    const { headers } = this._request
    const milliseconds = Number(headers['deadline-ms'])
    const [scheme, key = ''] = (headers.authorization ?? '').split(' ')
    return {
      host: (headers.host ?? '').split(':')[0] ?? '',
      path,
      key: scheme === 'Bearer' ? key : '',
      deadline: this._clock.now() + (milliseconds > 0 ? milliseconds : DEFAULT_DEADLINE_MILLISECONDS)
    }
  }

  /** @param found reply in place of a plain count, for requests that only need the queue. */
  private _reply (answer: JobResponse, found?: Reply): Reply {
    switch (answer.kind) {
      case 'accepted': return { status: 200, body: {} }
      case 'cancelled': return { status: 200, body: {} }
      case 'state': return { status: 200, body: { state: answer.state } }
      case 'pending': return found ?? { status: 200, body: { pending: answer.count } }
      case 'no-queue': return { status: 404, body: { error: 'no such queue' } }
      case 'no-job': return { status: 410, body: { error: 'no such job' } }
      case 'unauthorized': return { status: 401, body: { error: 'unknown key' } }
      case 'unknown': return { status: 504, body: { error: 'the outcome is not known; ask again' } }
      case 'not-run': return { status: 503, body: { error: 'not run' }, retryAt: answer.retryAt }
      case 'unsure': return { status: 503, body: { error: 'this process cannot tell at present' }, retryAt: answer.retryAt }
    }
  }

  private _send ({ status, body, retryAt }: Reply): void {
    const { _response: response } = this
    if (response.destroyed) return
    const wait = retryAt === undefined ? null : Math.max(0, Math.round(retryAt - this._clock.now()))
    const text = JSON.stringify(wait === null ? body ?? {} : { ...body, retry_after_ms: wait })
    response.statusCode = status
    response.setHeader('content-type', 'application/json')
    response.setHeader('content-length', Buffer.byteLength(text))
    if (wait !== null) response.setHeader('retry-after', String(Math.ceil(wait / 1_000)))
    response.end(text)
  }

  /** The whole body, or null if it is too large. */
  private async _readBody (): Promise<Buffer | null> {
    const chunks: Buffer[] = []
    let size = 0
    for await (const chunk of this._request as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size <= this._maximumBodyBytes) chunks.push(chunk)
    }
    return size <= this._maximumBodyBytes ? Buffer.concat(chunks) : null
  }
}
