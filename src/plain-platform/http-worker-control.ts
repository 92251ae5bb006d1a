/**
 * Control over workers by the platform's HTTP interface.
 */
import type { Either } from 'purify-ts/Either'
import * as z from 'zod'
import { WorkerUsageReport } from '../schemas/worker-usage-report.js'
import type { HttpPlatformClient } from './http-platform-client.js'
import type { PlatformError } from '../state/platform-error.js'
import { WorkerControl } from '../control/worker-control.js'
import type { WorkerRun } from '../control/worker-run.js'

const Acknowledgement = z.object({})
const Reports = z.object({ reports: z.array(WorkerUsageReport) })

/** Talks to the platform's worker interface. */
export class HttpWorkerControl extends WorkerControl {
  constructor (private readonly _caller: HttpPlatformClient) {
    super()
  }

  override async start ({ worker, ...run }: WorkerRun, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>> {
    const answer = await this._caller.call({ method: 'POST', path: `/workers/${worker}/runs`, document: run, answer: Acknowledgement, deadline, signal })
    return answer.map(() => undefined)
  }

  override async stop (worker: string, task: string, token: number, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>> {
    const answer = await this._caller.call({ method: 'POST', path: `/workers/${worker}/stops`, document: { task, token }, answer: Acknowledgement, deadline, signal })
    return answer.map(() => undefined)
  }

  override async reports (deadline: number, signal: AbortSignal): Promise<Either<PlatformError, WorkerUsageReport[]>> {
    const answer = await this._caller.call({ method: 'GET', path: '/workers/reports', document: null, answer: Reports, deadline, signal })
    return answer.map(({ reports }) => reports)
  }
}
