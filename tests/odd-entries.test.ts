/**
 * Tests of registry entries that another writer left: nothing ends or stalls, and the workers' own entries hold.
 */
import { expect, test } from 'vitest'
import { WorkerCodec } from '../src/platform/worker-codec.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Returns a worker's entry with the given address; `changes` replaces fields, and undefined removes one. */
function entryText (address: string, changes: Record<string, unknown> = {}): string {
  const entry = {
    service: 'work', address, zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, seq: 1, born: 1_900_000_000_000, capacity: { cpu: 64_000, mem_mb: 131_072 }, labels: ['a', 'r1'], clock_ms: 5
  }
  return JSON.stringify({ ...entry, ...changes })
}

/** Entries of another writer, by what is odd about them, for the address of a worker. */
function oddEntries (address: string): Record<string, string> {
  const host = address.split(':')[0] ?? ''
  const labels = (text: string): string => entryText(address, { labels: 0 }).replace('"labels":0', `"labels":${text}`)
  return {
    ...Object.fromEntries(['service', 'address', 'zone', 'version', 'slots', 'state', 'cold_remaining_ms', 'seq', 'capacity', 'labels'].map(name => [`no ${name}`, entryText(address, { [name]: undefined })])),
    'very deeply nested labels': labels('['.repeat(100_000) + ']'.repeat(100_000)),
    'deeply nested labels': labels('['.repeat(5_000) + ']'.repeat(5_000)),
    'a hundred thousand invalid labels': labels(`[${'1,'.repeat(100_000)}1]`),
    'thousands of invalid labels': labels(`[${'1,'.repeat(5_000)}1]`),
    'a deeply nested field that is not used': entryText(address, { x: 0 }).replace('"x":0', `"x":${'{"y":'.repeat(40_000)}1${'}'.repeat(40_000)}`),
    'a number beyond the largest': entryText(address, { born: 0 }).replace('"born":0', '"born":1e999'),
    'a start time that is no whole number': entryText(address, { born: 1.5 }),
    'a capacity too large': entryText(address, { capacity: { cpu: 1e300, mem_mb: 1 } }),
    'a capacity below zero': entryText(address, { capacity: { cpu: -1, mem_mb: 1 } }),
    'a sequence number too large': entryText(address, { seq: 1e300 }),
    'a port out of range': entryText(`${host}:99999`),
    'port 0': entryText(`${host}:0`),
    'a port of a hundred digits': entryText(`${host}:${'9'.repeat(100)}`),
    'an address out of range': entryText('999.0.0.1:8080'),
    'a host name': entryText('localhost:8080'),
    'two ports': entryText(`${address}:80`),
    'a state that is not named': entryText(address, { state: 'asleep' }),
    'fields of other types': entryText(address, { zone: 7, slots: '8' }),
    'a list': '[]',
    'no document': '{"service":',
    'bytes that are no text': '\u0000\u0001\uFFFD'
  }
}

test.each(Object.entries(oddEntries('10.0.0.1:8080')))('a worker entry with %s is unreadable, for a reason that fits into a log line', (_, text) => {
  const change = WorkerCodec.decode({ key: 'i-1', value: Buffer.from(text) }).extract()
  expect(change?.kind).toBe('unreadable')
  expect(change?.kind === 'unreadable' ? change.cause.length : Infinity).toBeLessThanOrEqual(300)
})

test('an entry that a worker writes is readable', () => {
  expect(WorkerCodec.decode({ key: 'i-1', value: Buffer.from(entryText('10.0.0.1:8080')) }).extract()).toMatchObject({ kind: 'listed' })
})

/** Starts a fleet in which a worker runs four long tasks, has `write` change the registry, and expects that the tasks run once and later jobs run. */
async function expectNothingRunsAgain (write: (put: (key: string, text: string) => void, address: string, id: string, startedAt: number) => void): Promise<EmulatedFleet> {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  for (let index = 0; index < 4; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: 8_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: 4 }])
  await fleet.clock.advance(1_000)
  const worker = fleet.emulator.workerIncarnations.find(({ running }) => running.length > 0)
  if (!worker) throw new Error('nothing is running')
  write((key, text) => fleet.emulator.store.putBytes('keyed.servers', key, Buffer.from(text)), worker.address, worker.id, worker.startedAt)
  await fleet.clock.advance(12_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  for (let index = 0; index < 4; index++) expect(fleet.starts(`aaaa.0.0.${index}`)).toHaveLength(1)
  await fleet.submit('two', 'bbbb', [{ count: 2 }])
  await fleet.clock.advance(4_000)
  expect(await fleet.state('one', 'bbbb')).toEqual({ kind: 'state', state: 'completed' })
  expect([...fleet.nodes.values()].flatMap(({ log }) => log.fieldsOf('child restarted'))).toEqual([])
  return fleet
}

test('odd entries of another writer, with the address of a worker, change nothing for the worker and its runs', { timeout: 60_000 }, async () => {
  const count = Object.keys(oddEntries('10.0.0.1:8080')).length
  const fleet = await expectNothingRunsAgain((put, address) => Object.values(oddEntries(address)).forEach((text, index) => put(`odd-${index}`, text)))
  const log = fleet.nodes.get(fleet.owner())?.log
  expect(log?.fieldsOf('unreadable worker entry ignored')).toHaveLength(count)
  expect(log?.fieldsOf('record skipped')).toEqual([])
  // A new owner loads the same entries.
  const owner = fleet.owner()
  fleet.kill(owner)
  fleet.start(owner)
  await fleet.clock.advance(8_000)
  await fleet.submit(owner, 'cccc', [{ count: 2 }])
  await fleet.clock.advance(4_000)
  expect(await fleet.state(owner, 'cccc')).toEqual({ kind: 'state', state: 'completed' })
})

// Guards against tasks that run twice at once because another tool has listed their worker's machine under a name of its own.
test('an entry of a pool that is not configured, with the address of a worker, ends none of its runs', async () => {
  const fleet = await expectNothingRunsAgain((put, address) => put('inventory-7', entryText(address, { service: 'old-inventory' })))
  expect(fleet.nodes.get(fleet.owner())?.log.fieldsOf('worker entry of an unknown pool ignored')).toEqual([{ worker: 'inventory-7', pool: 'old-inventory' }])
})

test('a complete entry under another ID, with the address of a worker, ends none of its runs', async () => {
  await expectNothingRunsAgain((put, address) => put('copy-7', entryText(address)))
})

test('an entry under the ID of a worker that names another address in the same life is ignored', async () => {
  const fleet = await expectNothingRunsAgain((put, _, id, startedAt) => put(id, entryText('10.0.0.99:8080', { born: startedAt })))
  expect(fleet.nodes.get(fleet.owner())?.log.fieldsOf('contradictory worker entry ignored')).toHaveLength(1)
})

test('workers whose pool is configured after they have registered are used', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  const worker = fleet.emulator.addVirtualMachine('later', 'a')
  await fleet.clock.advance(2_000)
  fleet.configure({ services: [{ name: 'later' }], routes: [{ name: 'later', host: 'fleet.example', path_prefix: '/later/', service: 'later' }] })
  await fleet.clock.advance(2_000)
  await fleet.submit('one', 'aaaa', [{}], {}, undefined, '/later/')
  await fleet.clock.advance(4_000)
  expect(fleet.starts('aaaa.0.0.0').map(({ worker: id }) => id)).toEqual([worker?.id])
})
