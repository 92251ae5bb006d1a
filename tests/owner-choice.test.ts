/**
 * Tests of which process owns the journal, among VMs of different sizes.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

const LARGE = { processorShare: 0.675, linkMegabitsPerSecond: 200 }
const SMALL = { processorShare: 0.324, linkMegabitsPerSecond: 10 }

/** Starts a fleet with two large VMs and nine small ones. */
async function startMixedFleet (seed: number): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet(seed)
  for (let count = 0; count < 4; count++) fleet.emulator.addVirtualMachine('work', 'a')
  fleet.configure({ hasStandby: false })
  for (const name of ['large-1', 'large-2']) fleet.start(name, LARGE)
  for (let index = 1; index <= 9; index++) fleet.start(`small-${index}`, SMALL)
  await fleet.clock.advance(3_000)
  return fleet
}

test.each([2_400, 3_200, 4_000])('an owner that is lost as the store returns after %i ms is succeeded by a process on a larger VM, although some on smaller ones read the store earlier', { timeout: 60_000 }, async downtime => {
  const owners: string[] = []
  for (const seed of [3, 4, 5, 6]) {
    const fleet = await startMixedFleet(seed)
    const lost = fleet.owner()
    fleet.emulator.faults.isStoreAway = true
    await fleet.clock.advance(downtime)
    fleet.emulator.faults.isStoreAway = false
    await fleet.clock.advance(100)
    fleet.kill(lost)
    while (fleet.owner() === '' || fleet.owner() === lost) await fleet.clock.advance(20)
    owners.push(fleet.owner())
  }
  expect(owners.filter(name => name.startsWith('small'))).toEqual([])
})

/** Kills all processes at once; returns the names of those that can start again. */
async function loseAllProcesses (fleet: EmulatedFleet, isOwnerLost: boolean): Promise<string[]> {
  const lost = isOwnerLost ? fleet.owner() : ''
  const names = [...fleet.nodes.keys()]
  for (const name of names) fleet.kill(name)
  await fleet.clock.advance(4_300)
  return names.filter(name => name !== lost)
}

/** Starts processes on VMs of one size; returns how long after that the journal has an owner. */
async function vacancyAfterStart (fleet: EmulatedFleet, names: readonly string[], size: { processorShare: number, linkMegabitsPerSecond: number }): Promise<number> {
  const startedAt = fleet.clock.now()
  for (const name of names) fleet.start(name, size)
  while (fleet.owner() === '') await fleet.clock.advance(20)
  return fleet.clock.now() - startedAt
}

test.each([0, 400])('a fleet that has lost all its processes is owned by one on a larger VM, although those start %i ms after the ones on smaller VMs', { timeout: 60_000 }, async delay => {
  const owners: string[] = []
  for (const seed of [3, 4, 5, 6]) {
    const fleet = await startMixedFleet(seed)
    const names = await loseAllProcesses(fleet, true)
    for (const name of names.filter(name => name.startsWith('small'))) fleet.start(name, SMALL)
    await fleet.clock.advance(delay)
    await vacancyAfterStart(fleet, names.filter(name => name.startsWith('large')), LARGE)
    owners.push(fleet.owner())
  }
  expect(owners.filter(name => name.startsWith('small'))).toEqual([])
})

// Guards against a wait for processes on larger VMs where none are larger.
test('a fleet of large VMs that has lost all its processes, the owner for good, has an owner within half a second of their start', { timeout: 60_000 }, async () => {
  for (const seed of [3, 4, 5, 6]) {
    const fleet = await startMixedFleet(seed)
    const names = await loseAllProcesses(fleet, true)
    expect(await vacancyAfterStart(fleet, names, LARGE)).toBeLessThan(500)
  }
})

// Guards against a wait for processes on larger VMs before any job could run.
test('a fleet of small VMs has its first owner within 1.5 s of its first start', { timeout: 60_000 }, async () => {
  for (const seed of [3, 4, 5, 6]) {
    const fleet = new EmulatedFleet(seed)
    for (let count = 0; count < 4; count++) fleet.emulator.addVirtualMachine('work', 'a')
    fleet.configure({ hasStandby: false })
    expect(await vacancyAfterStart(fleet, ['one', 'two', 'three'], SMALL)).toBeLessThan(1_500)
  }
})

// Guards against a takeover that the log doesn't explain.
test('a process logs when it will claim a vacant term, and the resources that it lacks as an owner', { timeout: 60_000 }, async () => {
  const fleet = await startMixedFleet(3)
  const lost = fleet.owner()
  fleet.kill(lost)
  while (fleet.owner() === '' || fleet.owner() === lost) await fleet.clock.advance(20)
  const [small, large] = ['small-1', fleet.owner()].map(name => fleet.nodes.get(name)?.log.fieldsOf('journal has no owner').at(-1))
  expect(small).toMatchObject({ cause: 'silent', holder: expect.stringContaining(lost), resourceShortfall: 0.9 })
  expect(large).toMatchObject({ cause: 'silent', holder: expect.stringContaining(lost), resourceShortfall: 0 })
  expect(Number(small?.['claimAt'])).toBeGreaterThan(fleet.clock.now())
  expect(Number(large?.['claimAt'])).toBeLessThanOrEqual(fleet.clock.now())
})

test('a process on a small VM that starts again alone leaves the journal to its owner, and takes it over once that is lost and no other process is left', { timeout: 60_000 }, async () => {
  const fleet = await startMixedFleet(3)
  const owner = fleet.owner()
  fleet.kill('small-1')
  await fleet.clock.advance(1_000)
  fleet.start('small-1', SMALL)
  await fleet.clock.advance(5_000)
  expect(fleet.owner()).toBe(owner)
  for (const name of [...fleet.nodes.keys()]) if (name !== 'small-1') fleet.kill(name)
  const lostAt = fleet.clock.now()
  while (fleet.owner() !== 'small-1') await fleet.clock.advance(20)
  expect(fleet.clock.now() - lostAt).toBeLessThan(3_000)
})
