/**
 * Work done while an availability zone leaves and returns.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { WireFleet } from '../tests/support/wire-fleet.js'
import { Benchmark } from './benchmark.js'
import type { ResultRow } from './result-row.js'

/** Zones with two endpoints and an entry process each. */
const ZONES = ['a', 'b', 'c']
const ENDPOINTS_PER_ZONE = 2

/** Slots of an endpoint and the time that a request takes, in milliseconds. */
const SLOTS = 2
const SERVICE_MILLISECONDS = 40

/** Requests under way at each entry process, enough to fill all slots. */
const WORKERS = 12

/** Length of each phase, in milliseconds. */
const PHASE_MILLISECONDS = 5_000

/** A full fleet of three zones over loopback; one zone goes out and comes back. */
export class ZoneBenchmark extends Benchmark {
  override readonly name = 'zone'
  override readonly summary = 'work done while one of three zones is out and after it is back, over what the serving slots can do'

  override async run (): Promise<ResultRow[]> {
    const fleet = new WireFleet()
    await fleet.start()
    for (const zone of ZONES) {
      for (let index = 0; index < ENDPOINTS_PER_ZONE; index++) await fleet.addEndpoint(`${zone}-${index}`, 'work', SERVICE_MILLISECONDS, SLOTS)
      await fleet.addProcess('entry', zone)
    }
    await fleet.addProcess('control', 'a')
    await fleet.until(() => [...fleet.processes.values()].every(({ tree }) => tree.keeper.state.members.size === ZONES.length + 1), 'all joined')
    await fleet.change('PUT', '/pools/work', { slotsPerVirtualMachine: SLOTS, slowStartMilliseconds: 2_000 })
    const key = await this._deploy(fleet)
    const answered = { count: 0, failed: 0, isOver: false }
    const work = this._send(fleet, key, answered)
    await delay(3_000)
    const all = await this._phase(answered)
    await fleet.change('POST', '/availability-zones/b/out')
    const out = await this._phase(answered)
    await fleet.change('POST', '/availability-zones/b/back')
    const back = await this._phase(answered)
    answered.isOver = true
    await work
    await fleet.close()
    const capacity = (zones: number): number => zones * ENDPOINTS_PER_ZONE * SLOTS * 1_000 / SERVICE_MILLISECONDS
    return [
      { figure: 'before: work done over capacity of 3 zones', value: all / capacity(3), naive: null, target: '' },
      { figure: 'zone out: work done over capacity of the 2 left', value: out / capacity(2), naive: null, target: '1' },
      { figure: 'zone out: over the rate before, by slots left', value: out / all * 3 / 2, naive: null, target: '1' },
      { figure: 'back (2 s slow start in 5 s): work done over capacity of 3 zones', value: back / capacity(3), naive: null, target: '' },
      { figure: 'requests not answered', value: answered.failed, naive: null, target: '0' }
    ]
  }

  private async _deploy (fleet: WireFleet): Promise<string> {
    for (const [id] of fleet.endpoints) await fleet.change('PUT', `/vms/${id}`, { pool: 'work', availabilityZone: id.slice(0, 1), rack: 'rack', address: fleet.addresses.get(id) })
    await fleet.change('PUT', '/queues/work', { pool: 'work' })
    await fleet.change('PUT', '/teams/team', { share: 1, upperLimit: 1_000 })
    return String((await fleet.change('POST', '/keys', { team: 'team' }))['key'])
  }

  private async _phase (answered: { count: number }): Promise<number> {
    const before = answered.count
    const startedAt = performance.now()
    await delay(PHASE_MILLISECONDS)
    return (answered.count - before) * 1_000 / (performance.now() - startedAt)
  }

  private async _send (fleet: WireFleet, key: string, answered: { count: number, failed: number, isOver: boolean }): Promise<void> {
    const agent = new Agent()
    const ports = ZONES.map(zone => fleet.processes.get(`entry-${zone}`)?.address.port ?? 0)
    await Promise.all(ports.flatMap(port => Array.from({ length: WORKERS }, async () => {
      while (!answered.isOver) {
        const { statusCode, body } = await request(`http://127.0.0.1:${port}/queues/work/x`, { method: 'POST', headers: { authorization: `Bearer ${key}` }, body: 'x', dispatcher: agent })
        await body.dump()
        if (statusCode === 200) answered.count += 1
        else answered.failed += 1
      }
    })))
    await agent.close()
  }
}
