/**
 * Control of workers over the platform's HTTP interface.
 */
import type { Either } from 'purify-ts/Either'
import * as z from 'zod'
import { WorkerUsageReport } from '../schemas/worker-usage-report.js'
import type { HttpPlatformClient } from './http-platform-client.js'
import type { PlatformError } from '../state/platform-error.js'
import { WorkerControl } from '../control/worker-control.js'
import type { WorkerRun } from '../control/worker-run.js'

const Acknowledgement = z.object({})
const ReportsResponse = z.object({ reports: z.array(WorkerUsageReport) })

/** Starts and stops runs and reads the workers' reports. */
export class HttpWorkerControl extends WorkerControl {
  constructor (private readonly _client: HttpPlatformClient) {
    super()
  }

  override async start ({ worker, ...run }: WorkerRun, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>> {
    const response = await this._client.call({ method: 'POST', path: `/workers/${worker}/runs`, document: run, responseSchema: Acknowledgement, deadline, signal })
    return response.map(() => undefined)
  }

  override async stop (worker: string, task: string, token: number, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>> {
    const response = await this._client.call({ method: 'POST', path: `/workers/${worker}/stops`, document: { task, token }, responseSchema: Acknowledgement, deadline, signal })
    return response.map(() => undefined)
  }

  override async reports (deadline: number, signal: AbortSignal): Promise<Either<PlatformError, WorkerUsageReport[]>> {
    const response = await this._client.call({ method: 'GET', path: '/workers/reports', document: null, responseSchema: ReportsResponse, deadline, signal })
    return response.map(({ reports }) => reports)
  }
}
