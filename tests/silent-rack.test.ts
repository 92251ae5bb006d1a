/**
 * Tests of how soon lasting tasks run again after many workers fell silent together while the owner was lost.
 */
import { expect, test } from 'vitest'
import { DisturbedFleet } from './support/lease-series/disturbed-fleet.js'
import type { PlannedMachine } from './support/lease-series/planned-machine.js'

/** Racks and their zones. */
const ZONES_BY_RACK = new Map([['r1', 'a'], ['r2', 'a'], ['r3', 'b'], ['r4', 'b']])
const RACKS = [...ZONES_BY_RACK.keys()]

const POOLS = ['work', 'mail', 'video']

/** Time in which a lost task has to run again, with reserve for the end of the series. */
const SERIES_MILLISECONDS = 20_000

/** Returns a VM of each pool in each rack, the given racks first. */
function machinesByRack (firstRacks: readonly string[]): PlannedMachine[] {
  return [...new Set([...firstRacks, ...RACKS])].flatMap(rack => POOLS.map(pool => ({ pool, zone: ZONES_BY_RACK.get(rack) ?? '', rack, clockRate: 1 })))
}

function machinesByPool (): PlannedMachine[] {
  return POOLS.flatMap(pool => RACKS.map(rack => ({ pool, zone: ZONES_BY_RACK.get(rack) ?? '', rack, clockRate: 1 })))
}

function cutPower ({ fleet: { emulator } }: DisturbedFleet, isSilent: (machine: { pool: string, rack: string }) => boolean): void {
  for (const worker of emulator.workerIncarnations) {
    const machine = emulator.virtualMachines.byId.get(worker.virtualMachine)
    if (machine && isSilent(machine)) emulator.outages.cutPower(worker)
  }
}

async function expectNoTaskLost (disturbed: DisturbedFleet, silent: number): Promise<void> {
  await disturbed.playUntil(disturbed.now + SERIES_MILLISECONDS)
  expect(disturbed.lateGaps()).toEqual([])
  expect(disturbed.fleet.violations()).toEqual([])
  expect(disturbed.gaps()).toHaveLength(silent)
  expect(disturbed.busyWorkers.flatMap(({ running }) => running)).toHaveLength(POOLS.length * RACKS.length)
}

// Guards against a wait that a few silent workers prolong because they are most of those that the owner has named.
test.each(RACKS.flatMap(rack => ['first', 'last'].map(position => [rack, position] as const)))('lasting tasks are not lost when all workers of rack %s, which were listed %s, lose power, and the owner 150 ms later, for good', async (rack, position) => {
  const disturbed = await DisturbedFleet.createFilled(1, ['one', 'two', 'three'], machinesByRack(position === 'first' ? [rack] : RACKS.filter(other => other !== rack)))
  cutPower(disturbed, machine => machine.rack === rack)
  disturbed.schedule(disturbed.now + 150, () => disturbed.fleet.kill(disturbed.fleet.owner()))
  await expectNoTaskLost(disturbed, POOLS.length)
})

/** Pairs of pools, and of the racks in which half of their workers are. */
const HALVES = [['work', 'mail'], ['work', 'video'], ['mail', 'video']].flatMap(pools =>
  [['r1', 'r2'], ['r3', 'r4'], ['r1', 'r3'], ['r2', 'r4'], ['r1', 'r4'], ['r2', 'r3']].map(racks => [pools.join(' and '), racks.join(' and '), pools, racks] as const))

// Guards against the same wait after a start of the processes.
test.each(HALVES)('lasting tasks are not lost when half of the workers of %s, those in %s, lose power, and all processes 70 ms later, the owner for good', async (_pools, _racks, pools, racks) => {
  const disturbed = await DisturbedFleet.createFilled(1, ['one', 'two', 'three'], machinesByPool())
  const { fleet } = disturbed
  const owner = fleet.owner()
  const others = [...fleet.nodes.keys()].filter(name => name !== owner)
  cutPower(disturbed, ({ pool, rack }) => pools.includes(pool) && racks.includes(rack))
  disturbed.schedule(disturbed.now + 70, () => {
    for (const name of [owner, ...others]) fleet.kill(name)
    disturbed.schedule(disturbed.now + 2_000, () => { for (const name of others) fleet.start(name) })
  })
  await expectNoTaskLost(disturbed, pools.length * racks.length)
})
