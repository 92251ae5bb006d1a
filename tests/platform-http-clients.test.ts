/**
 * Tests of the platform's HTTP clients, against the emulator on loopback.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { afterEach, expect, test } from 'vitest'
import { OrderFence } from '../src/leases/order-fence.js'
import type { WorkerError } from '../src/workers/worker-error.js'
import type { FeedError } from '../src/feeds/feed-error.js'
import { HttpClient } from '../src/platform/http-client.js'
import { HttpFleetVirtualMachineControl } from '../src/platform/http-fleet-virtual-machine-control.js'
import { HttpWorkerClient } from '../src/platform/http-worker-client.js'
import { KeyedTopic } from '../src/platform/keyed-topic.js'
import { SystemClock } from '../src/supervision/system-clock.js'
import { EmulatorServer } from '../stand-ins/emulator/emulator-server.js'
import { PlatformEmulator } from '../stand-ins/emulator/platform-emulator.js'
import { RecordingDecisionLog } from './support/recording-decision-log.js'

const clock = new SystemClock()
const signal = new AbortController().signal
const cleanups: (() => void)[] = []

afterEach(() => {
  for (const cleanUp of cleanups.splice(0)) cleanUp()
})

/** Returns a deadline that no call of these tests reaches. */
function distantDeadline (): number {
  return clock.now() + 30_000
}

/** Returns an emulator, and a function that serves one of its addresses and connects a client to it. */
function startEmulator (): { emulator: PlatformEmulator, connect: (address: string) => Promise<HttpClient> } {
  const emulator = new PlatformEmulator(clock, () => ({ milliseconds: 50, result: 'done' }))
  const server = new EmulatorServer(emulator)
  cleanups.push(() => server.close())
  return {
    emulator,
    connect: async address => {
      const httpClient = new HttpClient(await server.serve(address), 4, clock)
      cleanups.push(() => { httpClient.close().catch(() => {}) })
      return httpClient
    }
  }
}

test('records can be appended, read and listed as the newest of each key, and a read of compacted records fails', async () => {
  const { emulator, connect } = startEmulator()
  const topic = new KeyedTopic(await connect(emulator.addresses.store), 'keyed.test', clock, new RecordingDecisionLog())
  const record = (key: string, text: string): { key: string, value: Buffer } => ({ key, value: Buffer.from(text) })
  expect((await topic.append([record('a', '1'), record('b', '2')], null, distantDeadline(), signal)).extract()).toBe(0)
  expect((await topic.append([record('a', '3')], { term: 9, sequence: 0 }, distantDeadline(), signal)).extract()).toBe(2)
  const page = (await topic.read(1, clock.now(), signal)).unsafeCoerce()
  expect(page).toEqual({ changes: [{ offset: 1, value: record('b', '2') }, { offset: 2, value: record('a', '3') }], next: 3, end: 3 })
  const newest = (await topic.newest(signal)).unsafeCoerce()
  expect(newest.changes.map(({ value }) => [value.key, value.value.toString()])).toEqual([['a', '3'], ['b', '2']])
  emulator.store.partition('keyed.test').compact()
  expect((await topic.read(0, clock.now(), signal)).extract()).toMatchObject({ kind: 'cut' })
})

test('an append can be repeated with its sequence number, is fenced by a higher term and can require an end offset', async () => {
  const { emulator, connect } = startEmulator()
  const topic = new KeyedTopic(await connect(emulator.addresses.store), 'keyed.test', clock, new RecordingDecisionLog())
  const append = async (term: number, sequence: number, expectedEnd?: number): Promise<number | string> => {
    const fence = { term, sequence, ...(expectedEnd === undefined ? {} : { expectedEnd }) }
    const result = await topic.append([{ key: 'k', value: Buffer.from('v') }], fence, distantDeadline(), signal)
    return result.isRight() ? result.unsafeCoerce() : (result.extract() as FeedError).kind
  }
  expect(await append(5, 0)).toBe(0)
  expect(await append(5, 1)).toBe(1)
  expect(await append(5, 1)).toBe(1)
  expect(await append(5, 3)).toBe('misordered')
  expect(await append(6, 0, 7)).toBe('moved')
  expect(await append(6, 0, 2)).toBe(2)
  expect(await append(5, 2)).toBe('fenced')
  emulator.faults.refusalStatus = 429
  expect(await append(6, 1)).toBe('refused')
})

test('a worker accepts orders of the newest term only, and reports run completions until they are acknowledged', async () => {
  const { emulator, connect } = startEmulator()
  const worker = emulator.addVirtualMachine('work', 'a')
  if (!worker) throw new Error('the emulator added no worker')
  const connection = await connect(worker.address)
  const entry = { id: worker.id, incarnation: worker.startedAt, pool: 'work', address: worker.address, availabilityZone: 'a', capacity: { millicores: 1, memoryMegabytes: 1, accelerators: 0 }, labels: [], isDraining: false }
  const olderTermClient = new HttpWorkerClient(connection, entry, new OrderFence(7))
  const newerTermClient = new HttpWorkerClient(connection, entry, new OrderFence(8))
  const renewal = { leaseDeadline: worker.clockMilliseconds + 5_000, acknowledged: 0, waitMilliseconds: 0 }
  const order = { task: 'a.0.0.0', run: 1, specification: '', checkpoint: '', ticket: '' }
  expect((await olderTermClient.renewLease(renewal, distantDeadline(), signal)).isRight()).toBe(true)
  expect((await newerTermClient.start(order, worker.clockMilliseconds + 5_000, distantDeadline(), signal)).isRight()).toBe(true)
  const errorKind = (error: unknown): string => (error as WorkerError).kind
  expect(errorKind((await olderTermClient.start({ ...order, run: 2 }, worker.clockMilliseconds + 5_000, distantDeadline(), signal)).extract())).toBe('fenced')
  const report = (await newerTermClient.renewLease({ ...renewal, waitMilliseconds: 2_000 }, distantDeadline(), signal)).unsafeCoerce()
  expect(report.ended).toEqual([{ sequence: 1, task: 'a.0.0.0', run: 1, result: 'done', checkpoint: '' }])
  expect(errorKind((await newerTermClient.start(order, worker.clockMilliseconds + 5_000, distantDeadline(), signal)).extract())).toBe('outdated')
  expect((await newerTermClient.renewLease({ ...renewal, acknowledged: 1 }, distantDeadline(), signal)).unsafeCoerce().ended).toEqual([])
  const otherWorkerClient = new HttpWorkerClient(connection, { ...entry, id: 'i-other' }, new OrderFence(9))
  expect(errorKind((await otherWorkerClient.renewLease(renewal, distantDeadline(), signal)).extract())).toBe('replaced')
})

test('VMs are listed, and orders to them are idempotent and fenced by the term', async () => {
  const { emulator, connect } = startEmulator()
  emulator.addVirtualMachine('standby', 'a')
  const control = new HttpFleetVirtualMachineControl(await connect(emulator.addresses.machines), 'one')
  expect((await control.list(distantDeadline(), signal)).unsafeCoerce()).toMatchObject({ virtualMachines: [{ id: 'm-0', pool: 'standby', state: 'up', worker: '' }], unreadableRows: 0 })
  expect((await control.move('m-0', 'work', 5, distantDeadline(), signal)).isRight()).toBe(true)
  expect((await control.move('m-0', 'work', 5, distantDeadline(), signal)).isRight()).toBe(true)
  expect((await control.maintain('m-0', 1, 5, distantDeadline(), signal)).extract()).toMatchObject({ kind: 'busy' })
  expect((await control.move('m-0', 'standby', 4, distantDeadline(), signal)).extract()).toMatchObject({ kind: 'fenced' })
  expect((await control.move('m-9', 'work', 5, distantDeadline(), signal)).extract()).toMatchObject({ kind: 'missing' })
})

test('a call that is given up while it waits for a connection is known to be unsent, and the server never gets it', async () => {
  const paths: string[] = []
  const server = createServer(({ url }) => { paths.push(url ?? '') }).listen(0, '127.0.0.1')
  cleanups.push(() => { server.closeAllConnections(); server.close() })
  await once(server, 'listening')
  const httpClient = new HttpClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1, clock)
  const sent = httpClient.call({ method: 'POST', path: '/sent', body: {}, deadline: clock.now() + 500, signal })
  const waiting = httpClient.call({ method: 'POST', path: '/waiting', body: {}, deadline: clock.now() + 100, signal })
  expect((await waiting).extract()).toMatchObject({ kind: 'unsent' })
  expect((await sent).extract()).toMatchObject({ kind: 'unknown' })
  const afterwards = httpClient.call({ method: 'POST', path: '/afterwards', body: {}, deadline: clock.now() + 500, signal })
  await afterwards
  expect(paths).toEqual(['/sent', '/afterwards'])
  await httpClient.close()
})

test('a call that is given up resets its connection, so that a partition that heals does not deliver it', async () => {
  const ends: string[] = []
  const server = createTcpServer(socket => {
    socket.resume()
    socket.on('end', () => ends.push('orderly'))
    socket.on('error', (error: NodeJS.ErrnoException) => ends.push(error.code ?? ''))
  }).listen(0, '127.0.0.1')
  cleanups.push(() => server.close())
  await once(server, 'listening')
  const httpClient = new HttpClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1, clock)
  const connected = once(server, 'connection') as Promise<[Socket]>
  expect((await httpClient.call({ method: 'POST', path: '/order', body: {}, deadline: clock.now() + 200, signal })).extract()).toMatchObject({ kind: 'unknown' })
  const [socket] = await connected
  if (!socket.closed) await new Promise(resolve => socket.once('close', resolve))
  expect(ends).toEqual(['ECONNRESET'])
  await httpClient.close()
})

test('a response that arrives while the process is held up past the deadline is not given up', async () => {
  const source = `
    const { parentPort } = require('node:worker_threads')
    const server = require('node:http').createServer((_, response) => setTimeout(() => response.end('{}'), 50))
    server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))`
  const serverThread = new Worker(source, { eval: true })
  cleanups.push(() => { serverThread.terminate().catch(() => {}) })
  const [port] = await once(serverThread, 'message') as [number]
  const httpClient = new HttpClient(`127.0.0.1:${port}`, 1, clock)
  cleanups.push(() => { httpClient.close().catch(() => {}) })
  expect((await httpClient.call({ method: 'POST', path: '/', body: {}, deadline: distantDeadline(), signal })).isRight()).toBe(true)
  const response = httpClient.call({ method: 'POST', path: '/', body: {}, deadline: clock.now() + 200, signal })
  // The request leaves first.
  for (let turn = 0; turn < 3; turn++) await new Promise(resolve => setImmediate(resolve))
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_000)
  expect((await response).isRight()).toBe(true)
})

// Guards against orders of a process that was held up between its decision and the call: another process may own the journal by then.
test.each([['new', 0], ['new', 1], ['open', 0], ['open', 1]])('a call over a %s connection is not sent when the process is held up past the deadline after %i turns', async (kind, turns) => {
  const source = `
    const { parentPort } = require('node:worker_threads')
    const server = require('node:http').createServer((request, response) => { parentPort.postMessage(request.url); response.end('{}') })
    server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))`
  const serverThread = new Worker(source, { eval: true })
  cleanups.push(() => { serverThread.terminate().catch(() => {}) })
  const [port] = await once(serverThread, 'message') as [number]
  const requests: string[] = []
  serverThread.on('message', (path: string) => requests.push(path))
  const httpClient = new HttpClient(`127.0.0.1:${port}`, 1, clock)
  cleanups.push(() => { httpClient.close().catch(() => {}) })
  const call = (path: string, deadline: number): ReturnType<HttpClient['call']> => httpClient.call({ method: 'POST', path, body: {}, deadline, signal })
  if (kind === 'open') await call('/first', distantDeadline())
  const response = call('/order', clock.now() + 200)
  for (let turn = 0; turn < turns; turn++) await new Promise(resolve => setImmediate(resolve))
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_000)
  expect((await response).extract()).toMatchObject({ kind: 'unsent' })
  expect((await call('/last', distantDeadline())).isRight()).toBe(true)
  expect(requests).toEqual([...kind === 'open' ? ['/first'] : [], '/last'])
})

test('a call that cannot be made, because of an invalid header or a closed client, is known to be unsent', async () => {
  const server = createServer((_, response) => response.end('{}')).listen(0, '127.0.0.1')
  cleanups.push(() => server.close())
  await once(server, 'listening')
  const connect = (): HttpClient => new HttpClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1, clock)
  const call = (httpClient: HttpClient, headers: Record<string, string>): ReturnType<HttpClient['call']> => httpClient.call({ method: 'POST', path: '/', headers, body: {}, deadline: distantDeadline(), signal })
  const first = connect()
  expect((await call(first, { 'expect-instance': 'i-1\nother: 2' })).extract()).toMatchObject({ kind: 'unsent' })
  const second = connect()
  expect((await call(second, { 'expect-instance': 'i-1' })).isRight()).toBe(true)
  for (const httpClient of [first, second]) await httpClient.close()
  expect((await call(second, {})).extract()).toMatchObject({ kind: 'unsent' })
})

test('a call to an unserved address is known to be unsent, and one without a response has an unknown outcome', async () => {
  const unservedClient = new HttpClient('127.0.0.1:1', 1, clock)
  cleanups.push(() => { unservedClient.close().catch(() => {}) })
  expect((await unservedClient.call({ method: 'GET', path: '/', deadline: distantDeadline(), signal })).extract()).toMatchObject({ kind: 'unsent' })
  const { emulator, connect } = startEmulator()
  const store = await connect(emulator.addresses.store)
  emulator.faults.disconnectedCallers.add('http')
  const response = await store.call({ method: 'GET', path: '/samphireglade/log-newest?topic=t&part=0', deadline: clock.now() + 50, signal })
  expect(response.extract()).toMatchObject({ kind: 'unknown' })
})
