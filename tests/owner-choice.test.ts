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
