/**
 * Tests of several processes over loopback: concurrent requests, log outages and processes that can't reach the platform.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { errors, request } from 'undici'
import { LoopbackFleet } from './support/loopback-fleet.js'

let fleet: LoopbackFleet
let key: string

beforeEach(async () => {
  fleet = new LoopbackFleet()
  await fleet.start()
})

afterEach(async () => { await fleet.close() })

/** Starts two availability zones with an endpoint, an entry process and a control process each, and deploys a queue. */
async function startTwoZones (limit = 16): Promise<void> {
  for (const zone of ['a', 'b']) {
    await fleet.addEndpoint(`${zone}-1`, 'work')
    await fleet.addProcess('control', zone)
    await fleet.addProcess('entry', zone)
  }
  await fleet.waitUntil(() => [...fleet.processes.values()].every(({ tree }) => tree.keeper.state.members.size === 4), 'all processes joined')
  key = await fleet.deploy('work', 'team', limit)
}

async function send (zone: string, mark: string, options: { method?: 'PUT' | 'POST', headers?: Record<string, string> } = {}) {
  const { port } = fleet.processes.get(`entry-${zone}`)?.address ?? { port: 0 }
  const sentAt = Date.now()
  try {
    const response = await request(`http://127.0.0.1:${port}/queues/work/x`, {
      method: options.method ?? 'PUT', headers: { authorization: `Bearer ${key}`, 'x-mark': mark, ...options.headers }, body: mark
    })
    const text = await response.body.text()
    return { status: response.statusCode, text, outcome: response.statusCode === 200 ? null : JSON.parse(text).outcome as string }
  } catch (error) {
    throw new Error(`${mark} to entry-${zone} failed after ${Date.now() - sentAt} ms, ${describeSocket(error)}`, { cause: error })
  }
}

/** Describes the connection of a failed request: one that has read something before was reused. */
function describeSocket (error: unknown): string {
  const socket = error instanceof errors.SocketError ? error.socket : null
  return socket ? `on port ${socket.localPort}, ${socket.bytesWritten} bytes written and ${socket.bytesRead} read: ${String(error)}` : String(error)
}

function countRuns (mark: string): number {
  return [...fleet.endpoints.values()].flatMap(({ ledger }) => ledger).filter(entry => entry.mark === mark).length
}

function countRunning (): number {
  return [...fleet.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.running, 0)
}

describe('one idempotency key at two entry VMs', () => {
  it('runs once, and all callers get its response', async () => {
    await startTwoZones()
    const headers = { 'idempotency-key': 'same' }
    const results = await Promise.all(Array.from({ length: 10 }, (_, index) => send(index % 2 === 0 ? 'a' : 'b', 'posting', { method: 'POST', headers })))
    expect(results.map(result => [result.status, result.text])).toEqual(results.map(() => [200, 'posting']))
    expect(countRuns('posting')).toBe(1)
  })

  it('is refused as not run while no process reaches the log, and runs exactly once after the outage', async () => {
    await startTwoZones()
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    const headers = { 'idempotency-key': 'same' }
    expect(await send('a', 'posting', { method: 'POST', headers })).toMatchObject({ status: 503, outcome: 'not-run' })
    fleet.platform.faults = { ...fleet.platform.faults, isDown: false }
    await fleet.waitUntil(async () => (await send('a', 'posting', { method: 'POST', headers })).status === 200, 'the request is served')
    expect(countRuns('posting')).toBe(1)
  })
})

describe('faults of the log', () => {
  it('an outage for all processes doesn\'t interrupt requests with an access key', async () => {
    await startTwoZones()
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    const staleAt = Date.now() + 6_000
    while (Date.now() < staleAt) {
      expect((await send('a', 'a')).status).toBe(200)
      expect((await send('b', 'b', { method: 'POST' })).status).toBe(200)
    }
  })

  it('during an outage with the whole limit at one entry VM, the other borrows idle units and the limit holds', async () => {
    await startTwoZones(6)
    for (const endpoint of fleet.endpoints.values()) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 30 }
    const { state } = fleet.processes.get('control-a')?.tree.keeper ?? {}
    const holder = { member: 'entry-b', incarnation: state?.members.get('entry-b')?.incarnation ?? '' }
    await fleet.waitUntil(async () => {
      await Promise.all(Array.from({ length: 24 }, (_, index) => send('b', `fill-${index}`)))
      return fleet.processes.get('control-a')?.tree.keeper.state.unitsHeldBy(holder, 'team') === 6
    }, 'all units are granted to entry-b')
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    let peak = 0
    const sampler = setInterval(() => { peak = Math.max(peak, countRunning()) }, 1)
    const results = await Promise.all(Array.from({ length: 60 }, (_, index) => send('a', `borrowed-${index}`)))
    await Promise.all(Array.from({ length: 40 }, (_, index) => send(index % 2 === 0 ? 'a' : 'b', `both-${index}`)))
    clearInterval(sampler)
    expect(new Set(results.map(result => result.outcome ?? result.status))).toEqual(new Set([200]))
    expect(peak).toBeLessThanOrEqual(6)
  })

  it('lost responses and latency lose no change, and both entry VMs have it in the same version', async () => {
    await startTwoZones()
    fleet.platform.faults = { ...fleet.platform.faults, lostAppendAnswers: 5, slowMilliseconds: 50 }
    await fleet.change('PUT', '/teams/other', { share: 2, upperLimit: 3 })
    const { version } = fleet.processes.get('entry-b')?.tree.keeper.state.teams.get('other') ?? {}
    expect(fleet.processes.get('entry-a')?.tree.keeper.state.teams.get('other')?.version).toBe(version)
  })

  it('if only one process reaches the log, changes reach all processes, even those made at a process that doesn\'t reach it', async () => {
    await fleet.addEndpoint('a-1', 'work')
    const connectedProcess = await fleet.addProcess('control', 'a')
    // Nothing listens at this platform address.
    const disconnectedOptions = { platformPort: 1 }
    await fleet.addProcess('entry', 'a', disconnectedOptions)
    await fleet.addProcess('control', 'b', disconnectedOptions)
    await fleet.addProcess('entry', 'b', disconnectedOptions)
    await fleet.waitUntil(() => [...fleet.processes.values()].every(({ tree }) => tree.keeper.state.members.size === 4), 'all processes joined through the relay')
    key = await fleet.deploy('work', 'team', 16)
    expect((await send('b', 'through')).status).toBe(200)
    fleet.processes.delete('control-a')
    try {
      await fleet.change('PUT', '/teams/relayed', { share: 1, upperLimit: 1 })
    } finally {
      fleet.processes.set('control-a', connectedProcess)
    }
    expect(connectedProcess.tree.keeper.state.teams.has('relayed')).toBe(true)
  })

  it('an entry VM that starts during an outage loads the state from a peer', async () => {
    await startTwoZones()
    fleet.platform.faults = { ...fleet.platform.faults, isDown: true }
    const newEntry = await fleet.addProcess('entry', 'c')
    await fleet.waitUntil(() => newEntry.tree.keeper.state.queues.has('work'), 'the state is loaded from a peer')
    expect(newEntry.tree.keeper.state.toSnapshot()).toEqual(fleet.processes.get('entry-a')?.tree.keeper.state.toSnapshot())
  })
})

describe('peers', () => {
  it('with another secret can\'t connect and receive no state', async () => {
    await fleet.addProcess('control', 'a')
    const outsider = await fleet.addProcess('control', 'b', { secret: 'another secret, also long enough ok', platformPort: 1 })
    await fleet.waitUntil(() => outsider.metrics.value('peers.failures') > 2, 'the connection is refused')
    expect(outsider.tree.keeper.state.offset).toBe(0)
    expect(outsider.metrics.value('peers.connects')).toBe(0)
  })
})

describe('upper limits over two entry VMs', () => {
  it('hold at every moment, and units move to the entry VM that needs them', async () => {
    await startTwoZones(6)
    for (const endpoint of fleet.endpoints.values()) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 30 }
    let peak = 0
    const sampler = setInterval(() => { peak = Math.max(peak, countRunning()) }, 1)
    await Promise.all(Array.from({ length: 60 }, (_, index) => send(index % 3 === 0 ? 'a' : 'b', `both-${index}`)))
    await fleet.waitUntil(async () => {
      const previousPeak = peak
      peak = 0
      await Promise.all(Array.from({ length: 24 }, (_, index) => send('b', `one-${index}`)))
      const newPeak = peak
      peak = Math.max(previousPeak, peak)
      return newPeak === 6
    }, 'one entry VM uses the whole limit')
    clearInterval(sampler)
    expect(peak).toBe(6)
  })

  it('leave units with a removed process until its requests must have ended', async () => {
    await startTwoZones(6)
    for (const endpoint of fleet.endpoints.values()) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 20 }
    await Promise.all(Array.from({ length: 30 }, (_, index) => send('b', `warm-${index}`)))
    const { state } = fleet.processes.get('control-a')?.tree.keeper ?? {}
    const member = state?.members.get('entry-b')
    await fleet.change('POST', '/members/entry-b/forget')
    const teamGrants = [...(fleet.processes.get('control-a')?.tree.keeper.state.grants.get('team')?.values() ?? [])]
    const removedMemberGrant = teamGrants.find(grant => grant.holder.incarnation === member?.incarnation)
    expect(removedMemberGrant?.returnDeadline ?? 0).toBeGreaterThan(Date.now() + 10_000)
    // The removed process itself runs nothing on units that are being returned.
    const lateRequest = send('b', 'late', { headers: { 'samphireglade-deadline': String(Date.now() + 1_500) } })
    expect(await lateRequest).toMatchObject({ outcome: 'not-run' })
  })
})

describe('availability zones', () => {
  it('that are out get no new requests while running ones finish, and get requests again when back', async () => {
    await startTwoZones()
    await fleet.change('PUT', '/pools/work', { slowStartMilliseconds: 0 })
    const [a, b] = ['a-1', 'b-1'].map(name => fleet.endpoints.get(name))
    if (!a || !b) throw new Error('the endpoints are missing')
    for (const endpoint of [a, b]) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 400 }
    const earlier = Array.from({ length: 16 }, (_, index) => send('a', `before-${index}`))
    await fleet.waitUntil(() => b.running > 0, 'endpoint b-1 has requests')
    await fleet.change('POST', '/availability-zones/b/out')
    const runsBefore = b.ledger.length
    for (const endpoint of [a, b]) endpoint.faults = { ...endpoint.faults, slowMilliseconds: 0 }
    await Promise.all(Array.from({ length: 40 }, (_, index) => send(index % 2 === 0 ? 'a' : 'b', `out-${index}`)))
    expect(b.ledger.length).toBe(runsBefore)
    expect((await Promise.all(earlier)).every(result => result.status === 200)).toBe(true)
    await fleet.change('POST', '/availability-zones/b/back')
    await fleet.waitUntil(async () => {
      await send('a', 'back')
      return b.ledger.length > runsBefore
    }, 'endpoint b-1 gets requests again')
  })
})

describe('moves', () => {
  it('drain and reboot a VM and add it to the other pool without aborting a request', async () => {
    await startTwoZones()
    await fleet.change('PUT', '/pools/other', { slowStartMilliseconds: 0 })
    const traffic = { isStopped: false }
    const senders = Array.from({ length: 6 }, async (_, sender) => {
      const statuses: number[] = []
      while (!traffic.isStopped) statuses.push((await send(sender % 2 === 0 ? 'a' : 'b', 'traffic', { method: 'POST' })).status)
      return statuses
    })
    await fleet.change('POST', '/vms/b-1/move', { toPool: 'other' })
    await fleet.waitUntil(async () => {
      const virtualMachine = await fleet.client.call({ method: 'GET', path: '/vms/b-1' })
      return virtualMachine.map(({ phase, pool }) => phase === 'serving' && pool === 'other').orDefault(false)
    }, 'the VM serves the other pool')
    traffic.isStopped = true
    expect(new Set((await Promise.all(senders)).flat())).toEqual(new Set([200]))
    const moved = fleet.endpoints.get('b-1')
    expect([moved?.pool, moved?.cutByReboot]).toEqual(['other', 0])
  })
})
