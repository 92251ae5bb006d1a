/**
 * A client for one worker over the platform's protocol.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { OrderFence } from '../leases/order-fence.js'
import type { StartRunOrder } from '../runs/start-run-order.js'
import { WorkerClient } from '../workers/worker-client.js'
import type { WorkerEntry } from '../workers/worker-entry.js'
import { WorkerError } from '../workers/worker-error.js'
import type { WorkerReport } from '../workers/worker-report.js'
import type { CallClient } from './call-client.js'
import type { CallError } from './call-error.js'
import { parseJson } from './parse-json.js'
import { RunListsCodec } from './run-lists-codec.js'

/** Error kinds for the reasons given with status 409. */
const CONFLICT_ERROR_KINDS: Readonly<Record<string, WorkerError['kind']>> = { fence: 'fenced', old: 'outdated', late: 'late', room: 'room', ticket: 'ticket' }

const RefusalResponse = z.object({ reason: z.string().default('') })

const ClockResponse = z.object({ clock_ms: z.number() })

/** Each request names the expected worker and carries its fencing token. */
export class HttpWorkerClient extends WorkerClient {
  private readonly _headers: Readonly<Record<string, string>>

  constructor (private readonly _client: CallClient, { id }: WorkerEntry, fence: OrderFence) {
    super(fence)
    this._headers = { 'expect-instance': id }
  }

  override async start (order: StartRunOrder, leaseDeadline: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, number | null>> {
    const body = {
      task: order.task,
      run: order.run,
      spec: order.specification,
      deadline_ms: Math.round(leaseDeadline),
      ...(order.checkpoint === '' ? {} : { last_checkpoint: order.checkpoint }),
      ...(order.ticket === '' ? {} : { ticket: order.ticket })
    }
    return (await this._call('run-start', body, deadline, signal)).map(response => this._readClock(response))
  }

  override async stop (task: string, run: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, number | null>> {
    return (await this._call('run-stop', { task, run }, deadline, signal)).map(response => this._readClock(response))
  }

  override async throttle (task: string, run: number, percent: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, void>> {
    return (await this._call('pace', { task, run, percent }, deadline, signal)).map(() => undefined)
  }

  override async renewLease (request: Parameters<WorkerClient['renewLease']>[0], deadline: number, signal: AbortSignal): Promise<Either<WorkerError, WorkerReport>> {
    const body = {
      last_seen: request.acknowledged,
      ...(request.leaseDeadline === null ? {} : { deadline_ms: Math.round(request.leaseDeadline) }),
      ...(request.waitMilliseconds > 0 ? { wait_ms: Math.round(request.waitMilliseconds) } : {})
    }
    const response = await this._call('hold', body, deadline, signal)
    return response.chain(responseBody => RunListsCodec.decode(responseBody).mapLeft(message => new WorkerError('invalid', message)))
  }

  override async close (): Promise<void> {
    await this._client.close()
  }

  private _readClock (body: Buffer): number | null {
    return parseJson(ClockResponse, body).map<number | null>(response => response.clock_ms).orDefault(null)
  }

  private async _call (operation: string, body: object, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, Buffer>> {
    const { token } = this.fence
    const response = await this._client.call({ method: 'POST', path: `/samphireglade/${operation}`, headers: this._headers, body: { ...body, fencing_token: token }, deadline, signal })
    if (response.isLeft()) {
      const failure = response.extract() as CallError
      return Left(new WorkerError(failure.kind, failure.message, failure.isConnectionRefused))
    }
    const { status, body: responseBody } = response.unsafeCoerce()
    if (status === 200) return Right(responseBody)
    if (status === 421) return Left(new WorkerError('replaced', 'another incarnation responds at the address'))
    if (status === 429 || status === 503) return Left(new WorkerError('unhealthy', `the worker returned status ${status}`))
    if (status !== 409) return Left(new WorkerError(status >= 500 ? 'unknown' : 'invalid', `the worker returned status ${status}`))
    const reason = parseJson(RefusalResponse, responseBody).map(refused => refused.reason).orDefault('')
    const kind = CONFLICT_ERROR_KINDS[reason] ?? 'invalid'
    return Left(new WorkerError(kind === 'fenced' && token < this.fence.token ? 'superseded' : kind, `the worker refused the request: ${reason}`))
  }
}
