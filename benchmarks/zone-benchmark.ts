/**
 * Benchmark of throughput while an availability zone is taken out of service and returned.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { LoopbackFleet } from '../tests/support/loopback-fleet.js'
import { Benchmark } from './benchmark.js'
import type { ResultRow } from './result-row.js'

/** Availability zones; each has one entry process. */
const ZONES = ['a', 'b', 'c']

const ENDPOINTS_PER_ZONE = 2

const SLOTS_PER_ENDPOINT = 2

/** Service time of a request. */
const SERVICE_MILLISECONDS = 40

/** Number of requests in flight at each entry process, enough to fill all slots. */
const CONCURRENCY_PER_ENTRY = 12

/** Length of each measured phase. */
const PHASE_MILLISECONDS = 5_000

/** Keeps a fleet of three zones over loopback fully loaded while one zone is taken out of service and returned. */
export class ZoneBenchmark extends Benchmark {
  override readonly name = 'zone'
  override readonly summary = 'work done while one of three zones is out and after its return, relative to the capacity of the serving slots'

  override async run (): Promise<ResultRow[]> {
    const fleet = new LoopbackFleet()
    await fleet.start()
    for (const zone of ZONES) {
      for (let index = 0; index < ENDPOINTS_PER_ZONE; index++) await fleet.addEndpoint(`${zone}-${index}`, 'work', SERVICE_MILLISECONDS, SLOTS_PER_ENDPOINT)
      await fleet.addProcess('entry', zone)
    }
    await fleet.addProcess('control', 'a')
    await fleet.waitUntil(() => [...fleet.processes.values()].every(({ tree }) => tree.keeper.state.members.size === ZONES.length + 1), 'all joined')
    await fleet.change('PUT', '/pools/work', { slotsPerVirtualMachine: SLOTS_PER_ENDPOINT, slowStartMilliseconds: 2_000 })
    const key = await this._applyConfiguration(fleet)
    const counts = { answered: 0, failed: 0, isStopped: false }
    const traffic = this._sendRequests(fleet, key, counts)
    await delay(3_000)
    const throughputBefore = await this._measureThroughput(counts)
    await fleet.change('POST', '/availability-zones/b/out')
    const throughputOut = await this._measureThroughput(counts)
    await fleet.change('POST', '/availability-zones/b/back')
    const throughputBack = await this._measureThroughput(counts)
    counts.isStopped = true
    await traffic
    await fleet.close()
    const capacity = (zones: number): number => zones * ENDPOINTS_PER_ZONE * SLOTS_PER_ENDPOINT * 1_000 / SERVICE_MILLISECONDS
    return [
      { figure: 'before: work done over capacity of 3 zones', value: throughputBefore / capacity(3), naive: null, target: '' },
      { figure: 'zone out: work done over capacity of the 2 left', value: throughputOut / capacity(2), naive: null, target: '1' },
      { figure: 'zone out: over the rate before, by slots left', value: throughputOut / throughputBefore * 3 / 2, naive: null, target: '1' },
      { figure: 'back (2 s slow start in 5 s): work done over capacity of 3 zones', value: throughputBack / capacity(3), naive: null, target: '' },
      { figure: 'requests not answered', value: counts.failed, naive: null, target: '0' }
    ]
  }

  private async _applyConfiguration (fleet: LoopbackFleet): Promise<string> {
    for (const [id] of fleet.endpoints) await fleet.change('PUT', `/vms/${id}`, { pool: 'work', availabilityZone: id.slice(0, 1), rack: 'rack', address: fleet.addresses.get(id) })
    await fleet.change('PUT', '/queues/work', { pool: 'work' })
    await fleet.change('PUT', '/teams/team', { share: 1, upperLimit: 1_000 })
    return String((await fleet.change('POST', '/keys', { team: 'team' }))['key'])
  }

  private async _measureThroughput (counts: { answered: number }): Promise<number> {
    const answeredBefore = counts.answered
    const startedAt = performance.now()
    await delay(PHASE_MILLISECONDS)
    return (counts.answered - answeredBefore) * 1_000 / (performance.now() - startedAt)
  }

  private async _sendRequests (fleet: LoopbackFleet, key: string, counts: { answered: number, failed: number, isStopped: boolean }): Promise<void> {
    const agent = new Agent()
    const ports = ZONES.map(zone => fleet.processes.get(`entry-${zone}`)?.address.port ?? 0)
    await Promise.all(ports.flatMap(port => Array.from({ length: CONCURRENCY_PER_ENTRY }, async () => {
      while (!counts.isStopped) {
        const { statusCode, body } = await request(`http://127.0.0.1:${port}/queues/work/x`, { method: 'POST', headers: { authorization: `Bearer ${key}` }, body: 'x', dispatcher: agent })
        await body.dump()
        if (statusCode === 200) counts.answered += 1
        else counts.failed += 1
      }
    })))
    await agent.close()
  }
}
