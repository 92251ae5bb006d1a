/**
 * The emulator's own limits.
 */
import { expect, test } from 'vitest'
import { EmulatedStore } from '../stand-ins/emulator/emulated-store.js'
import { PlatformEmulator } from '../stand-ins/emulator/platform-emulator.js'
import { FakeClock } from './support/fake-clock.js'

const query = new URLSearchParams({ topic: 'keyed.test', part: '0', from: '0' })

test('reads beyond the rate of all processes together are refused until a second has passed', async () => {
  const clock = new FakeClock()
  const store = new EmulatedStore(clock)
  const statuses = async (calls: number): Promise<number[]> => Promise.all(Array.from({ length: calls }, async () => (await store.handle('log-newest', query, Buffer.alloc(0))).status))
  expect((await statuses(2_001)).filter(status => status === 429)).toHaveLength(1)
  await clock.advance(1_001)
  expect((await statuses(10)).filter(status => status === 429)).toHaveLength(0)
})

test('a partition carries appends out one at a time and refuses those that would wait for more than two seconds', async () => {
  const clock = new FakeClock()
  const store = new EmulatedStore(clock)
  const answers = Array.from({ length: 600 }, () => store.handle('log-append', query, Buffer.alloc(0)))
  await clock.advance(400)
  expect(store.appends).toBe(100)
  await clock.advance(3_000)
  const statuses = (await Promise.all(answers)).map(({ status }) => status)
  expect(statuses.filter(status => status === 200)).toHaveLength(501)
  expect(statuses.filter(status => status === 503)).toHaveLength(99)
})

test('lists of VMs beyond the rate are refused', async () => {
  const emulator = new PlatformEmulator(new FakeClock(), () => ({ milliseconds: 1_000, result: 'done' }))
  const list = async (): Promise<number> => (await emulator.handle({ caller: 'one', address: emulator.addresses.machines, path: '/samphireglade/machines', headers: {}, body: Buffer.alloc(0) }))?.status ?? 0
  const statuses = await Promise.all(Array.from({ length: 65 }, list))
  expect(statuses.filter(status => status === 429)).toHaveLength(1)
})
