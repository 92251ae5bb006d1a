/**
 * Tests of the limits of the platform's emulator, and of its control interface of the VMs.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedStore } from '../stand-ins/emulator/emulated-store.js'
import { PlatformEmulator } from '../stand-ins/emulator/platform-emulator.js'
import { FakeClock } from './support/fake-clock.js'

const query = new URLSearchParams({ topic: 'keyed.test', part: '0', from: '0' })

test('reads beyond the rate limit shared by all processes are refused until a second has passed', async () => {
  const clock = new FakeClock()
  const store = new EmulatedStore(clock)
  const readStatuses = async (calls: number): Promise<number[]> => Promise.all(Array.from({ length: calls }, async () => (await store.handle('log-newest', query, Buffer.alloc(0))).status))
  expect((await readStatuses(2_001)).filter(status => status === 429)).toHaveLength(1)
  await clock.advance(1_001)
  expect((await readStatuses(10)).filter(status => status === 429)).toHaveLength(0)
})

test('a partition executes appends one at a time and refuses those that would wait for more than two seconds', async () => {
  const clock = new FakeClock()
  const store = new EmulatedStore(clock)
  const responses = Array.from({ length: 600 }, () => store.handle('log-append', query, Buffer.alloc(0)))
  await clock.advance(400)
  expect(store.appends).toBe(100)
  await clock.advance(3_000)
  const statuses = (await Promise.all(responses)).map(({ status }) => status)
  expect(statuses.filter(status => status === 200)).toHaveLength(501)
  expect(statuses.filter(status => status === 503)).toHaveLength(99)
})

test('requests for the list of VMs beyond the rate limit are refused', async () => {
  const emulator = new PlatformEmulator(new FakeClock(), () => ({ milliseconds: 1_000, result: 'done' }))
  const list = async (): Promise<number> => (await emulator.handle({ caller: 'one', address: emulator.addresses.machines, path: '/samphireglade/machines', headers: {}, body: Buffer.alloc(0) }))?.status ?? 0
  const statuses = await Promise.all(Array.from({ length: 65 }, list))
  expect(statuses.filter(status => status === 429)).toHaveLength(1)
})

interface Row {
  readonly machine: string
  readonly pool: string
  readonly state: string
  readonly id?: string
}

function createEmulator (): { clock: FakeClock, emulator: PlatformEmulator, worker: EmulatedWorker } {
  const clock = new FakeClock()
  const emulator = new PlatformEmulator(clock, () => ({ milliseconds: Infinity, result: 'done' }))
  const worker = emulator.addVirtualMachine('work', 'a')
  if (!worker) throw new Error('no worker')
  return { clock, emulator, worker }
}

async function listOnce (emulator: PlatformEmulator): Promise<Row[] | number> {
  const response = await emulator.handle({ caller: 'one', address: emulator.addresses.machines, path: '/samphireglade/machines', headers: {}, body: Buffer.alloc(0) })
  if (response?.status !== 200) return response?.status ?? 0
  return (JSON.parse(response.body.toString()) as { machines: Row[] }).machines.map(({ machine, pool, state, id }) => ({ machine, pool, state, ...(id === undefined ? {} : { id }) }))
}

function order (emulator: PlatformEmulator, pool: string, token: number): Promise<{ status: number } | null> {
  const body = Buffer.from(JSON.stringify({ machine: 'm-0', pool }))
  return emulator.handle({ caller: 'one', address: emulator.addresses.machines, path: '/samphireglade/machine-move', headers: { 'lease-holder': 'one', 'fencing-token': `${token}` }, body })
}

test('a VM whose worker has lost power, crashed or shut down is listed as down without a worker, and takes no order', async () => {
  for (const end of [(emulator: PlatformEmulator, worker: EmulatedWorker) => emulator.outages.cutPower(worker), (emulator: PlatformEmulator, worker: EmulatedWorker) => emulator.crash(worker), (emulator: PlatformEmulator, worker: EmulatedWorker) => emulator.shutDown(worker)]) {
    const { emulator, worker } = createEmulator()
    end(emulator, worker)
    expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'work', state: 'down' }])
    expect((await order(emulator, 'other', 1))?.status).toBe(409)
  }
})

test('a VM whose worker is cut off is listed as before', async () => {
  const { emulator, worker } = createEmulator()
  emulator.outages.disconnect(worker)
  expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'work', state: 'up', id: worker.id }])
})

test('a VM is listed with its worker after the worker has started again, under its ID or another one', async () => {
  const { clock, emulator, worker } = createEmulator()
  emulator.crash(worker)
  const restarted = emulator.restart(worker)
  expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'work', state: 'up', id: worker.id }])
  const replaced = emulator.replace(restarted, clock.now() + 1_000)
  expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'work', state: 'down' }])
  await clock.advance(1_000)
  await replaced
  expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'work', state: 'up', id: 'i-2' }])
})

test('a VM is listed as moving without a worker after an order, and with another one once it has arrived', async () => {
  const { clock, emulator } = createEmulator()
  await order(emulator, 'other', 1)
  expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'other', state: 'moving' }])
  await clock.advance(1_500)
  expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'other', state: 'up', id: 'i-2' }])
})

test('all rows of a list that lags behind are as old as the lag', async () => {
  const { clock, emulator, worker } = createEmulator()
  emulator.faults.virtualMachines.listAgeMilliseconds = 300
  await clock.advance(1_000)
  emulator.outages.cutPower(worker)
  await clock.advance(299)
  expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'work', state: 'up', id: worker.id }])
  await clock.advance(1)
  expect(await listOnce(emulator)).toEqual([{ machine: 'm-0', pool: 'work', state: 'down' }])
})

test('a slow list has the rows of when it was requested', async () => {
  const { clock, emulator, worker } = createEmulator()
  emulator.faults.virtualMachines.listMilliseconds = 800
  const list = listOnce(emulator)
  await clock.advance(100)
  emulator.outages.cutPower(worker)
  await clock.advance(700)
  expect(await list).toEqual([{ machine: 'm-0', pool: 'work', state: 'up', id: worker.id }])
})

test('a list may be refused, or get no response', async () => {
  const { emulator } = createEmulator()
  emulator.faults.virtualMachines.listRefusalStatus = 503
  expect(await listOnce(emulator)).toBe(503)
  emulator.faults.virtualMachines.isListAway = true
  expect(await listOnce(emulator)).toBe(0)
})

test('a late order gets no response, and is executed after newer calls unless one of those had a higher token', async () => {
  for (const [token, pool] of [[1, 'late'], [2, 'newer']] as const) {
    const { clock, emulator } = createEmulator()
    emulator.faults.virtualMachines.lateOrders = 1
    emulator.faults.virtualMachines.lateOrderMilliseconds = 5_000
    expect(await order(emulator, 'late', 1)).toBeNull()
    expect((await order(emulator, 'newer', token))?.status).toBe(200)
    await clock.advance(5_000)
    expect(emulator.virtualMachines.byId.get('m-0')?.pool).toBe(pool)
  }
})

test('a late start is not executed by a worker that has ended meanwhile', async () => {
  const { clock, emulator, worker } = createEmulator()
  emulator.faults.lateStarts = 1
  const headers = { 'expect-instance': worker.id }
  const body = Buffer.from(JSON.stringify({ task: 'aaaa.0.0.0', run: 1, deadline_ms: 10_000, fencing_token: 1 }))
  const start = emulator.handle({ caller: 'one', address: worker.address, path: '/samphireglade/run-start', headers, body })
  await clock.advance(1)
  expect(await start).toBeNull()
  emulator.outages.cutPower(worker)
  await clock.advance(5_000)
  expect(worker.starts).toEqual([])
})
