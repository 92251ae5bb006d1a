/**
 * Cost of the path over a bare client.
 */
import { Agent, request } from 'undici'
import { DemoFleet } from '../demo/demo-fleet.js'
import { DemoLayout } from '../demo/demo-layout.js'
import { DemoProcesses } from '../demo/demo-processes.js'
import { Benchmark } from './benchmark.js'
import { DEPLOYMENT } from './deployment-path.js'
import { LatencyRecorder } from './latency-recorder.js'
import type { ResultRow } from './result-row.js'

/** Requests of each kind, in turns. */
const REQUESTS = 4_000

/** Requests of the warm-up. */
const WARM_UP_REQUESTS = 1_000

/** Requests under way at once. */
const WORKERS = 4

/** Sends the same requests to the same endpoints with and without the system between, in turns. */
export class DispatchBenchmark extends Benchmark {
  override readonly name = 'dispatch'
  override readonly summary = 'latency through the entry daemon over that of a bare undici client to the same endpoint'

  override async run (): Promise<ResultRow[]> {
    const layout = new DemoLayout(['a'])
    const processes = new DemoProcesses()
    const fleet = new DemoFleet(layout, processes, DEPLOYMENT, 0)
    try {
      await fleet.start()
      await fleet.publish()
      const { answer } = await fleet.change('POST', '/keys', { team: 'austin-schools' })
      return await this._measure(fleet, String(answer['key']), layout.sites[0]?.callers ?? 0)
    } finally {
      await processes.stopAll()
    }
  }

  private async _measure (fleet: DemoFleet, key: string, port: number): Promise<ResultRow[]> {
    const agent = new Agent()
    const endpoint = fleet.machines.find(machine => machine.pool === 'balances')?.address
    const send = async (url: string, headers: Record<string, string>): Promise<void> => {
      const { statusCode, body } = await request(url, { method: 'PUT', body: '{"balance":1}', headers: { 'content-type': 'application/json', ...headers }, dispatcher: agent })
      await body.dump()
      if (statusCode !== 200) throw new Error(`answered ${statusCode}`)
    }
    const direct = (): Promise<void> => send(`http://${endpoint?.host}:${endpoint?.port}/check`, { 'samphireglade-request-id': 'bare' })
    const through = (): Promise<void> => send(`http://127.0.0.1:${port}/queues/balances/check`, { authorization: `Bearer ${key}` })
    const recorders = { direct: new LatencyRecorder(), through: new LatencyRecorder() }
    await this._inTurns(WARM_UP_REQUESTS, direct, through, null)
    await this._inTurns(REQUESTS, direct, through, recorders)
    return [50, 99].flatMap(percentile => {
      const value = recorders.through.percentile(percentile)
      const naive = recorders.direct.percentile(percentile)
      return [
        { figure: `latency, percentile ${percentile} (ms)`, value, naive, target: '' },
        { figure: `ratio to bare client, percentile ${percentile}`, value: value / naive, naive: 1, target: '' }
      ]
    })
  }

  private async _inTurns (count: number, direct: () => Promise<void>, through: () => Promise<void>, recorders: { direct: LatencyRecorder, through: LatencyRecorder } | null): Promise<void> {
    await Promise.all(Array.from({ length: WORKERS }, async () => {
      for (let index = 0; index < count / WORKERS; index++) {
        await (recorders ? recorders.direct.time(direct) : direct())
        await (recorders ? recorders.through.time(through) : through())
      }
    }))
  }
}
