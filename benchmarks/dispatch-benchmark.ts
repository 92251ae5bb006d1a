/**
 * Benchmark of the latency that the entry daemon adds to a request.
 */
import { Agent, request } from 'undici'
import { DemoFleet } from '../demo/demo-fleet.js'
import { DemoLayout } from '../demo/demo-layout.js'
import { DemoProcesses } from '../demo/demo-processes.js'
import { Benchmark } from './benchmark.js'
import { DEPLOYMENT_PATH } from './deployment-path.js'
import { LatencyRecorder } from './latency-recorder.js'
import type { ResultRow } from './result-row.js'

/** Number of measured requests on each path. */
const REQUESTS = 4_000

/** Number of unmeasured requests on each path before the measurement. */
const WARM_UP_REQUESTS = 1_000

/** Number of requests in flight. */
const CONCURRENCY = 4

/** Sends the same requests to the same service, alternating between the direct path and the path through the entry daemon. */
export class DispatchBenchmark extends Benchmark {
  override readonly name = 'dispatch'
  override readonly summary = 'latency through the entry daemon over that of a bare undici client to the same endpoint'

  override async run (): Promise<ResultRow[]> {
    const layout = new DemoLayout(['a'])
    const processes = new DemoProcesses()
    const fleet = new DemoFleet(layout, processes, DEPLOYMENT_PATH, 0)
    try {
      await fleet.start()
      await fleet.applyDeployment()
      const { response } = await fleet.change('POST', '/keys', { team: 'austin-schools' })
      return await this._measure(fleet, String(response['key']), layout.entryVirtualMachines[0]?.callerPort ?? 0)
    } finally {
      await processes.stopAll()
    }
  }

  private async _measure (fleet: DemoFleet, key: string, port: number): Promise<ResultRow[]> {
    const agent = new Agent()
    const endpoint = fleet.virtualMachines.find(virtualMachine => virtualMachine.pool === 'balances')?.address
    const send = async (url: string, headers: Record<string, string>): Promise<void> => {
      const { statusCode, body } = await request(url, { method: 'PUT', body: '{"balance":1}', headers: { 'content-type': 'application/json', ...headers }, dispatcher: agent })
      await body.dump()
      if (statusCode !== 200) throw new Error(`response status ${statusCode}`)
    }
    const direct = (): Promise<void> => send(`http://${endpoint?.host}:${endpoint?.port}/check`, { 'samphireglade-request-id': 'bare' })
    const throughEntry = (): Promise<void> => send(`http://127.0.0.1:${port}/queues/balances/check`, { authorization: `Bearer ${key}` })
    const recorders = { direct: new LatencyRecorder(), throughEntry: new LatencyRecorder() }
    await this._alternatePaths(WARM_UP_REQUESTS, direct, throughEntry, null)
    await this._alternatePaths(REQUESTS, direct, throughEntry, recorders)
    return [50, 99].flatMap(percentile => {
      const value = recorders.throughEntry.percentile(percentile)
      const naive = recorders.direct.percentile(percentile)
      return [
        { figure: `latency, percentile ${percentile} (ms)`, value, naive, target: '' },
        { figure: `ratio to bare client, percentile ${percentile}`, value: value / naive, naive: 1, target: '' }
      ]
    })
  }

  private async _alternatePaths (count: number, direct: () => Promise<void>, throughEntry: () => Promise<void>, recorders: { direct: LatencyRecorder, throughEntry: LatencyRecorder } | null): Promise<void> {
    await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
      for (let index = 0; index < count / CONCURRENCY; index++) {
        await (recorders ? recorders.direct.time(direct) : direct())
        await (recorders ? recorders.throughEntry.time(throughEntry) : throughEntry())
      }
    }))
  }
}
