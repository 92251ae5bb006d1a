/**
 * The adapter over HTTP, against the emulator on loopback.
 */
import { afterEach, expect, test } from 'vitest'
import type { WorkerError } from '../src/scheduling/worker-error.js'
import type { FeedError } from '../src/feeds/feed-error.js'
import { HttpClient } from '../src/platform/http-client.js'
import { HttpFleetVirtualMachineControl } from '../src/platform/http-fleet-virtual-machine-control.js'
import { HttpWorkerClient } from '../src/platform/http-worker-client.js'
import { KeyedTopic } from '../src/platform/keyed-topic.js'
import { SystemClock } from '../src/supervision/system-clock.js'
import { EmulatorServer } from '../stand-ins/emulator/emulator-server.js'
import { PlatformEmulator } from '../stand-ins/emulator/platform-emulator.js'

const clock = new SystemClock()
const signal = new AbortController().signal
const closing: (() => void)[] = []

afterEach(() => {
  for (const close of closing.splice(0)) close()
})

/** Far enough away that it never decides a test. */
function later (): number {
  return clock.now() + 30_000
}

/** An emulator with a server, and clients of its addresses. */
function emulated (): { emulator: PlatformEmulator, client: (address: string) => Promise<HttpClient> } {
  const emulator = new PlatformEmulator(clock, () => ({ milliseconds: 50, result: 'done' }))
  const server = new EmulatorServer(emulator)
  closing.push(() => server.close())
  return {
    emulator,
    client: async address => {
      const made = new HttpClient(await server.serve(address), 4, clock)
      closing.push(() => { made.close().catch(() => {}) })
      return made
    }
  }
}

test('records are appended, read, and kept as the newest of their keys', async () => {
  const { emulator, client } = emulated()
  const topic = new KeyedTopic(await client(emulator.addresses.store), 'keyed.test', clock)
  const record = (key: string, text: string): { key: string, value: Buffer } => ({ key, value: Buffer.from(text) })
  expect((await topic.append([record('a', '1'), record('b', '2')], null, later(), signal)).extract()).toBe(0)
  expect((await topic.append([record('a', '3')], { term: 9, sequence: 0 }, later(), signal)).extract()).toBe(2)
  const page = (await topic.read(1, clock.now(), signal)).unsafeCoerce()
  expect(page).toEqual({ changes: [{ offset: 1, value: record('b', '2') }, { offset: 2, value: record('a', '3') }], next: 3, end: 3 })
  const newest = (await topic.newest(signal)).unsafeCoerce()
  expect(newest.changes.map(({ value }) => [value.key, value.value.toString()])).toEqual([['a', '3'], ['b', '2']])
  emulator.store.partition('keyed.test').compact()
  expect((await topic.read(0, clock.now(), signal)).extract()).toMatchObject({ kind: 'cut' })
})

test('an append is repeatable under its sequence, fenced by a higher term, and conditional on the end', async () => {
  const { emulator, client } = emulated()
  const topic = new KeyedTopic(await client(emulator.addresses.store), 'keyed.test', clock)
  const append = async (term: number, sequence: number, expectedEnd?: number): Promise<number | string> => {
    const fence = { term, sequence, ...(expectedEnd === undefined ? {} : { expectedEnd }) }
    const answer = await topic.append([{ key: 'k', value: Buffer.from('v') }], fence, later(), signal)
    return answer.isRight() ? answer.unsafeCoerce() : (answer.extract() as FeedError).kind
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

test('a worker takes orders of the newest term only, and lists ends until they are acknowledged', async () => {
  const { emulator, client } = emulated()
  const worker = emulator.addVirtualMachine('work', 'a')
  if (!worker) throw new Error('no worker')
  const connection = await client(worker.address)
  const entry = { id: worker.id, incarnation: worker.startedAt, pool: 'work', address: worker.address, availabilityZone: 'a', capacity: { millicores: 1, memoryMegabytes: 1, accelerators: 0 }, labels: [], isDraining: false }
  const older = new HttpWorkerClient(connection, entry, 7)
  const newer = new HttpWorkerClient(connection, entry, 8)
  const hold = { leaseDeadline: worker.clock + 5_000, acknowledged: 0, waitMilliseconds: 0 }
  const order = { task: 'a.0.0.0', run: 1, specification: '', checkpoint: '', ticket: '' }
  expect((await older.renewLease(hold, later(), signal)).isRight()).toBe(true)
  expect((await newer.start(order, worker.clock + 5_000, later(), signal)).isRight()).toBe(true)
  const kind = (error: unknown): string => (error as WorkerError).kind
  expect(kind((await older.start({ ...order, run: 2 }, worker.clock + 5_000, later(), signal)).extract())).toBe('fenced')
  const report = (await newer.renewLease({ ...hold, waitMilliseconds: 2_000 }, later(), signal)).unsafeCoerce()
  expect(report.ended).toEqual([{ sequence: 1, task: 'a.0.0.0', run: 1, result: 'done', checkpoint: '' }])
  expect(kind((await newer.start(order, worker.clock + 5_000, later(), signal)).extract())).toBe('outdated')
  expect((await newer.renewLease({ ...hold, acknowledged: 1 }, later(), signal)).unsafeCoerce().ended).toEqual([])
  const stranger = new HttpWorkerClient(connection, { ...entry, id: 'i-other' }, 9)
  expect(kind((await stranger.renewLease(hold, later(), signal)).extract())).toBe('replaced')
})

test('VMs are listed and ordered about once, under a fence', async () => {
  const { emulator, client } = emulated()
  emulator.addVirtualMachine('standby', 'a')
  const control = new HttpFleetVirtualMachineControl(await client(emulator.addresses.machines), 'one')
  expect((await control.list(later(), signal)).unsafeCoerce()).toMatchObject([{ id: 'm-0', pool: 'standby', state: 'up', worker: '' }])
  expect((await control.move('m-0', 'work', 5, later(), signal)).isRight()).toBe(true)
  expect((await control.move('m-0', 'work', 5, later(), signal)).isRight()).toBe(true)
  expect((await control.maintain('m-0', 1, 5, later(), signal)).extract()).toMatchObject({ kind: 'busy' })
  expect((await control.move('m-0', 'standby', 4, later(), signal)).extract()).toMatchObject({ kind: 'fenced' })
  expect((await control.move('m-9', 'work', 5, later(), signal)).extract()).toMatchObject({ kind: 'missing' })
})

test('a call to nobody is known to be unsent, and one without an answer is not', async () => {
  const nobody = new HttpClient('127.0.0.1:1', 1, clock)
  closing.push(() => { nobody.close().catch(() => {}) })
  expect((await nobody.call({ method: 'GET', path: '/', deadline: later(), signal })).extract()).toMatchObject({ kind: 'unsent' })
  const { emulator, client } = emulated()
  const store = await client(emulator.addresses.store)
  emulator.faults.disconnectedCallers.add('http')
  const answer = await store.call({ method: 'GET', path: '/samphireglade/log-newest?topic=t&part=0', deadline: clock.now() + 50, signal })
  expect(answer.extract()).toMatchObject({ kind: 'unknown' })
})
