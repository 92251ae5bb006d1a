/**
 * Failures that operators of similar systems have reported: whether they can happen here.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

// A lease of 5 s, less the second between two renewals and the time that an unanswered call takes.
test.each([1_000, 2_500, 3_400])('a worker that is silent for %i ms keeps its runs, and nothing of them starts elsewhere', async silence => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  for (let index = 0; index < 6; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: 9_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: 6 }])
  await fleet.clock.advance(3_000)
  const silent = fleet.emulator.workerIncarnations.find(({ running }) => running.length > 0)
  if (silent) silent.isDisconnected = true
  await fleet.clock.advance(silence)
  if (silent) silent.isDisconnected = false
  await fleet.clock.advance(15_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  for (let index = 0; index < 6; index++) expect(fleet.starts(`aaaa.0.0.${index}`)).toHaveLength(1)
})

test('a worker that does not respond gets no run while its lease expires, and its runs start once elsewhere', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  for (let index = 0; index < 4; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: 20_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: 4 }])
  await fleet.clock.advance(1_000)
  const silent = fleet.emulator.workerIncarnations.find(({ running }) => running.length > 0)
  if (silent) silent.isDisconnected = true
  await fleet.clock.advance(30_000)
  for (let index = 0; index < 4; index++) expect(fleet.starts(`aaaa.0.0.${index}`).map(({ run }) => run)).toEqual([1, 2])
  expect(fleet.nodes.get(fleet.owner())?.log.fieldsOf('start unsettled')).toEqual([])
})

test('a worker whose registry entry disappears while it responds keeps its runs', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 12_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(1_000)
  const [start] = fleet.starts('aaaa.0.0.0')
  fleet.emulator.store.put('keyed.servers', start?.worker ?? '', null)
  await fleet.clock.advance(16_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test.each([1, 2, 3])('around graceful hand-overs and kills no run starts twice and no VM gets an order twice (seed %i)', async seed => {
  const fleet = new EmulatedFleet(seed)
  for (let count = 0; count < 6; count++) fleet.emulator.addVirtualMachine('work', 'a')
  fleet.configure({ hasStandby: false })
  for (const name of ['one', 'two', 'three']) fleet.start(name)
  await fleet.clock.advance(2_000)
  fleet.emulator.publish('wave/1', { wave: 1, machines: ['m-0', 'm-1', 'm-2'], duration_s: 60, max_count: 1 })
  const ids: string[] = []
  for (let round = 0; round < 6; round++) {
    for (let job = 0; job < 4; job++) {
      const id = `a${round}${job}${seed}`
      ids.push(id)
      fleet.submit(fleet.nonOwner(), id, [{ count: 4 }, { count: 2, after: [0] }]).catch(() => {})
    }
    await fleet.clock.advance(120 + 35 * round)
    const owner = fleet.owner()
    if (round % 2 === 0) fleet.nodes.get(owner)?.stop.abort()
    else fleet.kill(owner)
    await fleet.clock.advance(900)
    fleet.nodes.delete(owner)
    fleet.start(`next-${round}`)
    await fleet.clock.advance(1_500)
  }
  await fleet.clock.advance(25_000)
  const [survivor = ''] = [...fleet.nodes.keys()].slice(-1)
  for (const id of ids) expect(await fleet.state(survivor, id)).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.violations()).toEqual([])
  const maintained = fleet.emulator.virtualMachines.orders.map(({ virtualMachine }) => virtualMachine)
  expect(new Set(maintained).size).toBe(maintained.length)
})

test.each([3_000, 8_000, 14_000])('an owner that was suspended for %i ms starts no run that its successor has started meanwhile', async pause => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two', 'three'])
  const owner = fleet.owner()
  // The suspended owner's orders are about to leave when it stops.
  fleet.emulator.faults.appendResponseMilliseconds = 50
  for (let index = 0; index < 8; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: 4_000, result: 'done' })
  await fleet.submit(fleet.nonOwner(), 'aaaa', [{ count: 8 }])
  const decisions = fleet.emulator.store.partition('keyed.decisions')
  while (!decisions.newestRecords().some(({ key }) => key.startsWith('step/'))) await fleet.clock.advance(1)
  fleet.nodes.get(owner)?.clock.suspend()
  fleet.emulator.faults.appendResponseMilliseconds = 0
  // The successor reaches one of the two workers only.
  const [unreachable] = fleet.emulator.workerIncarnations
  if (unreachable) fleet.emulator.faults.allowedCallers.set(unreachable.address, new Set([owner]))
  await fleet.clock.advance(pause)
  fleet.nodes.get(owner)?.clock.resume()
  await fleet.clock.advance(5_000)
  fleet.emulator.faults.allowedCallers.clear()
  await fleet.clock.advance(25_000)
  expect(await fleet.state(fleet.nonOwner(), 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.violations()).toEqual([])
})

test.each([false, true])('after a restart of all processes neither a withdrawn key nor a worker that has left is in use again (history compacted: %s)', async isCompacted => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  await fleet.submit('one', 'aaaa', [{ count: 3 }])
  await fleet.clock.advance(3_000)
  const [departed] = fleet.emulator.workerIncarnations
  if (departed) fleet.emulator.shutDown(departed)
  fleet.configure({ keys: ['another-key'] })
  await fleet.clock.advance(1_000)
  for (const name of ['one', 'two']) fleet.kill(name)
  if (isCompacted) for (const topic of ['keyed.op', 'keyed.servers', 'keyed.jobs', 'keyed.decisions']) fleet.emulator.store.partition(topic).compact()
  for (const name of ['three', 'four']) fleet.start(name)
  const startsBefore = departed?.starts.length ?? 0
  for (let poll = 0; poll < 40; poll++) {
    await fleet.clock.advance(100)
    const response = await fleet.submit('three', `b${poll.toString(16).padStart(3, '0')}`, [{}])
    expect(response.kind).not.toBe('accepted')
  }
  expect((await fleet.submit('four', 'cccc', [{}])).kind).toBe('unauthorized')
  expect(departed?.starts.length).toBe(startsBefore)
})
