/**
 * Calls to a worker over the platform's protocol.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { StartRunOrder } from '../scheduling/start-run-order.js'
import { WorkerClient } from '../scheduling/worker-client.js'
import type { WorkerEntry } from '../scheduling/worker-entry.js'
import { WorkerError } from '../scheduling/worker-error.js'
import type { WorkerReport } from '../scheduling/worker-report.js'
import type { CallClient } from './call-client.js'
import { parseJson } from './parse-json.js'

/** Reasons of a 409. */
const REFUSALS: Readonly<Record<string, WorkerError['kind']>> = { fence: 'fenced', old: 'outdated', late: 'late', room: 'room', ticket: 'ticket' }

const Refused = z.object({ reason: z.string().default('') })
const Lists = z.object({
  born: z.number().default(0),
  clock_ms: z.number(),
  running: z.array(z.tuple([z.string(), z.number(), z.string(), z.number()]).rest(z.number())).default([]),
  ended: z.array(z.tuple([z.number(), z.string(), z.number(), z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']), z.string()])).default([])
})

/** Sends orders that name the worker and carry the term as fencing token. */
export class HttpWorkerClient extends WorkerClient {
  private readonly _headers: Readonly<Record<string, string>>

  constructor (private readonly _client: CallClient, { id }: WorkerEntry, private readonly _term: number) {
    super()
    this._headers = { 'expect-instance': id }
  }

  override async start (order: StartRunOrder, leaseDeadline: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, void>> {
    const body = {
      task: order.task,
      run: order.run,
      spec: order.specification,
      deadline_ms: Math.round(leaseDeadline),
      fencing_token: this._term,
      ...(order.checkpoint === '' ? {} : { last_checkpoint: order.checkpoint }),
      ...(order.ticket === '' ? {} : { ticket: order.ticket })
    }
    return (await this._call('run-start', body, deadline, signal)).map(() => undefined)
  }

  override async stop (task: string, run: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, void>> {
    return (await this._call('run-stop', { task, run, fencing_token: this._term }, deadline, signal)).map(() => undefined)
  }

  override async throttle (task: string, run: number, percent: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, void>> {
    return (await this._call('pace', { task, run, percent, fencing_token: this._term }, deadline, signal)).map(() => undefined)
  }

  override async renewLease (request: Parameters<WorkerClient['renewLease']>[0], deadline: number, signal: AbortSignal): Promise<Either<WorkerError, WorkerReport>> {
    const body = {
      fencing_token: this._term,
      last_seen: request.acknowledged,
      ...(request.leaseDeadline === null ? {} : { deadline_ms: Math.round(request.leaseDeadline) }),
      ...(request.waitMilliseconds > 0 ? { wait_ms: Math.round(request.waitMilliseconds) } : {})
    }
    const answer = await this._call('hold', body, deadline, signal)
    return answer.chain(text => parseJson(Lists, text).bimap(message => new WorkerError('invalid', message), lists => this._report(lists)))
  }

  override async close (): Promise<void> {
    await this._client.close()
  }

  private _report (lists: z.infer<typeof Lists>): WorkerReport {
    return {
      incarnation: lists.born,
      clock: lists.clock_ms,
      running: lists.running.map(([task, run, checkpoint, percent, load = 0]) => ({ task, run, checkpoint, percent, load })),
      ended: lists.ended.map(([number, task, run, how, checkpoint]) => ({ number, task, run, how, checkpoint }))
    }
  }

  private async _call (order: string, body: object, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, Buffer>> {
    const answer = await this._client.call({ method: 'POST', path: `/samphireglade/${order}`, headers: this._headers, body, deadline, signal })
    if (answer.isLeft()) {
      const failure = answer.extract() as Error & { kind: 'unsent' | 'unknown' }
      return Left(new WorkerError(failure.kind, failure.message))
    }
    const { status, body: text } = answer.unsafeCoerce()
    if (status === 200) return Right(text)
    if (status === 421) return Left(new WorkerError('replaced', 'another incarnation answers at the address'))
    if (status === 429 || status === 503) return Left(new WorkerError('unhealthy', `the worker answered ${status}`))
    if (status !== 409) return Left(new WorkerError(status >= 500 ? 'unknown' : 'invalid', `the worker answered ${status}`))
    const reason = parseJson(Refused, text).map(refused => refused.reason).orDefault('')
    return Left(new WorkerError(REFUSALS[reason] ?? 'invalid', `the worker refused: ${reason}`))
  }
}
