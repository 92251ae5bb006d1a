/**
 * Several processes together: races, a log that is down, paths that are cut.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { WireFleet } from './support/wire-fleet.js'

let fleet: WireFleet
let key: string

beforeEach(async () => {
  fleet = new WireFleet()
  await fleet.start()
})

afterEach(async () => { await fleet.close() })

/** Two zones with an endpoint, an entry and a control process each. */
async function twoZones (limit = 16): Promise<void> {
  for (const zone of ['a', 'b']) {
    await fleet.addEndpoint(`${zone}-1`, 'work')
    await fleet.addProcess('control', zone)
    await fleet.addProcess('entry', zone)
  }
  await fleet.until(() => [...fleet.processes.values()].every(({ tree }) => tree.keeper.state.members.size === 4), 'all joined')
  key = await fleet.deploy('work', 'team', limit)
}

async function send (zone: string, mark: string, options: { method?: 'PUT' | 'POST', headers?: Record<string, string> } = {}) {
  const { port } = fleet.processes.get(`entry-${zone}`)?.address ?? { port: 0 }
  const response = await request(`http://127.0.0.1:${port}/queues/work/x`, {
    method: options.method ?? 'PUT', headers: { authorization: `Bearer ${key}`, 'x-mark': mark, ...options.headers }, body: mark
  })
  const text = await response.body.text()
  return { status: response.statusCode, text, outcome: response.statusCode === 200 ? null : JSON.parse(text).outcome as string }
}

function runs (mark: string): number {
  return [...fleet.endpoints.values()].flatMap(({ ledger }) => ledger).filter(entry => entry.mark === mark).length
}

function running (): number {
  return [...fleet.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.running, 0)
}

describe('one idempotency key at two entry VMs', () => {
  it('runs once, and both callers get its answer', async () => {
    await twoZones()
    const headers = { 'idempotency-key': 'same' }
    const answers = await Promise.all(Array.from({ length: 10 }, (_, index) => send(index % 2 === 0 ? 'a' : 'b', 'posting', { method: 'POST', headers })))
    expect(answers.map(answer => [answer.status, answer.text])).toEqual(answers.map(() => [200, 'posting']))
    expect(runs('posting')).toBe(1)
  })

  it('is refused as not run while the log is down for all, and runs after its return', async () => {
    await twoZones()
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    const headers = { 'idempotency-key': 'same' }
    expect(await send('a', 'posting', { method: 'POST', headers })).toMatchObject({ status: 503, outcome: 'not-run' })
    fleet.platform.faults = { ...fleet.platform.faults, isDown: false }
    await fleet.until(async () => (await send('a', 'posting', { method: 'POST', headers })).status === 200, 'runs')
    expect(runs('posting')).toBe(1)
  })
})

describe('the log', () => {
  it('down for all doesn\'t stop keyed work', async () => {
    await twoZones()
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    const staleAt = Date.now() + 6_000
    while (Date.now() < staleAt) {
      expect((await send('a', 'a')).status).toBe(200)
      expect((await send('b', 'b', { method: 'POST' })).status).toBe(200)
    }
  })

  it('down for all while the whole limit is at one entry VM: the other borrows what stands idle, and the limit holds', async () => {
    await twoZones(6)
    for (const endpoint of fleet.endpoints.values()) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 30 }
    const { state } = fleet.processes.get('control-a')?.tree.keeper ?? {}
    const holder = { member: 'entry-b', incarnation: state?.members.get('entry-b')?.incarnation ?? '' }
    await fleet.until(async () => {
      await Promise.all(Array.from({ length: 24 }, (_, index) => send('b', `fill-${index}`)))
      return fleet.processes.get('control-a')?.tree.keeper.state.unitsHeldBy(holder, 'team') === 6
    }, 'all units at b')
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    let peak = 0
    const watch = setInterval(() => { peak = Math.max(peak, running()) }, 1)
    const answers = await Promise.all(Array.from({ length: 60 }, (_, index) => send('a', `borrowed-${index}`)))
    await Promise.all(Array.from({ length: 40 }, (_, index) => send(index % 2 === 0 ? 'a' : 'b', `both-${index}`)))
    clearInterval(watch)
    expect(new Set(answers.map(answer => answer.outcome ?? answer.status))).toEqual(new Set([200]))
    expect(peak).toBeLessThanOrEqual(6)
  })

  it('losing answers and being slow costs no change and makes none twice', async () => {
    await twoZones()
    fleet.platform.faults = { ...fleet.platform.faults, lostAppendAnswers: 5, slowMilliseconds: 50 }
    await fleet.change('PUT', '/teams/other', { share: 2, upperLimit: 3 })
    const { version } = fleet.processes.get('entry-b')?.tree.keeper.state.teams.get('other') ?? {}
    expect(fleet.processes.get('entry-a')?.tree.keeper.state.teams.get('other')?.version).toBe(version)
  })

  it('reached by one process serves them all: changes spread and are made by any of them', async () => {
    await fleet.addEndpoint('a-1', 'work')
    const first = await fleet.addProcess('control', 'a')
    // Nothing listens at this platform address.
    const cut = { platformPort: 1 }
    await fleet.addProcess('entry', 'a', cut)
    await fleet.addProcess('control', 'b', cut)
    await fleet.addProcess('entry', 'b', cut)
    await fleet.until(() => [...fleet.processes.values()].every(({ tree }) => tree.keeper.state.members.size === 4), 'all joined by relay')
    key = await fleet.deploy('work', 'team', 16)
    expect((await send('b', 'through')).status).toBe(200)
    fleet.processes.delete('control-a')
    try {
      await fleet.change('PUT', '/teams/relayed', { share: 1, upperLimit: 1 })
    } finally {
      fleet.processes.set('control-a', first)
    }
    expect(first.tree.keeper.state.teams.has('relayed')).toBe(true)
  })

  it('down at the start of a new entry VM: it takes the state from a peer and serves', async () => {
    await twoZones()
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    const late = await fleet.addProcess('entry', 'c')
    await fleet.until(() => late.tree.keeper.state.queues.has('work'), 'state from a peer')
    expect(late.tree.keeper.state.toSnapshot()).toEqual(fleet.processes.get('entry-a')?.tree.keeper.state.toSnapshot())
  })
})

describe('peers', () => {
  it('with another secret learn nothing and are told nothing', async () => {
    await fleet.addProcess('control', 'a')
    const stranger = await fleet.addProcess('control', 'b', { secret: 'another secret, also long enough ok', platformPort: 1 })
    await fleet.until(() => stranger.metrics.value('peers.failures') > 2, 'refused')
    expect(stranger.tree.keeper.state.offset).toBe(0)
    expect(stranger.metrics.value('peers.connects')).toBe(0)
  })
})

describe('upper limits over two entry VMs', () => {
  it('hold at every moment, and units go where the work is', async () => {
    await twoZones(6)
    for (const endpoint of fleet.endpoints.values()) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 30 }
    let peak = 0
    const watch = setInterval(() => { peak = Math.max(peak, running()) }, 1)
    await Promise.all(Array.from({ length: 60 }, (_, index) => send(index % 3 === 0 ? 'a' : 'b', `both-${index}`)))
    await fleet.until(async () => {
      const before = peak
      peak = 0
      await Promise.all(Array.from({ length: 24 }, (_, index) => send('b', `one-${index}`)))
      const reached = peak
      peak = Math.max(before, peak)
      return reached === 6
    }, 'the whole limit at one entry VM')
    clearInterval(watch)
    expect(peak).toBe(6)
  })

  it('stay with a process that is gone until its work must have ended', async () => {
    await twoZones(6)
    for (const endpoint of fleet.endpoints.values()) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 20 }
    await Promise.all(Array.from({ length: 30 }, (_, index) => send('b', `warm-${index}`)))
    const { state } = fleet.processes.get('control-a')?.tree.keeper ?? {}
    const member = state?.members.get('entry-b')
    await fleet.change('POST', '/members/entry-b/forget')
    const held = [...(fleet.processes.get('control-a')?.tree.keeper.state.grants.get('team')?.values() ?? [])]
    const dead = held.find(grant => grant.holder.incarnation === member?.incarnation)
    expect(dead?.returnDeadline ?? 0).toBeGreaterThan(Date.now() + 10_000)
    // The forgotten process itself starts nothing under units that are on their way back.
    const late = send('b', 'late', { headers: { 'samphireglade-deadline': String(Date.now() + 1_500) } })
    expect(await late).toMatchObject({ outcome: 'not-run' })
  })
})

describe('availability zones', () => {
  it('that are out get no new work while running work finishes, and get work again when back', async () => {
    await twoZones()
    await fleet.change('PUT', '/pools/work', { slowStartMilliseconds: 0 })
    const [a, b] = ['a-1', 'b-1'].map(name => fleet.endpoints.get(name))
    if (!a || !b) throw new Error('no endpoints')
    for (const endpoint of [a, b]) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 400 }
    const before = Array.from({ length: 16 }, (_, index) => send('a', `before-${index}`))
    await fleet.until(() => b.running > 0, 'b has work')
    await fleet.change('POST', '/availability-zones/b/out')
    const count = b.ledger.length
    for (const endpoint of [a, b]) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 0 }
    await Promise.all(Array.from({ length: 40 }, (_, index) => send(index % 2 === 0 ? 'a' : 'b', `out-${index}`)))
    expect(b.ledger.length).toBe(count)
    expect((await Promise.all(before)).every(answer => answer.status === 200)).toBe(true)
    await fleet.change('POST', '/availability-zones/b/back')
    await fleet.until(async () => {
      await send('a', 'back')
      return b.ledger.length > count
    }, 'b gets work again')
  })
})

describe('moves', () => {
  it('drain, reboot and join without cutting a request', async () => {
    await twoZones()
    await fleet.change('PUT', '/pools/other', { slowStartMilliseconds: 0 })
    const stop = { isOver: false }
    const traffic = Array.from({ length: 6 }, async (_, worker) => {
      const answers: number[] = []
      while (!stop.isOver) answers.push((await send(worker % 2 === 0 ? 'a' : 'b', 'traffic', { method: 'POST' })).status)
      return answers
    })
    await fleet.change('POST', '/vms/b-1/move', { toPool: 'other' })
    await fleet.until(async () => {
      const machine = await fleet.client.call({ method: 'GET', path: '/vms/b-1' })
      return machine.map(({ phase, pool }) => phase === 'serving' && pool === 'other').orDefault(false)
    }, 'moved')
    stop.isOver = true
    expect(new Set((await Promise.all(traffic)).flat())).toEqual(new Set([200]))
    const moved = fleet.endpoints.get('b-1')
    expect([moved?.pool, moved?.cutByReboot]).toEqual(['other', 0])
  })
})
