/**
 * Tests of what a new owner can know of its predecessor by the workers that the predecessor's record names.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Time from the end of a lasting task's last run, and time without disturbance, within which it runs again. */
const RESTART_MILLISECONDS = 9_000
const CALM_MILLISECONDS = 7_000

const DEMAND_OF_A_TASK = { millicores: 40_000, memoryMegabytes: 64, accelerators: 0 }

/** Number of workers of a rack, in an availability zone. */
type RackSize = readonly [availabilityZone: string, rack: string, workers: number]

/** Starts a fleet of racks with a lasting task on a worker of each. */
async function startRacks (sizes: readonly RackSize[], nodes = ['one', 'two', 'three', 'four', 'five']): Promise<{ fleet: EmulatedFleet, racks: readonly EmulatedWorker[][] }> {
  const fleet = new EmulatedFleet(1)
  const racks = sizes.map(([availabilityZone, rack, workers]) => Array.from({ length: workers }, () => fleet.emulator.addVirtualMachine('work', availabilityZone, rack)))
  fleet.configure({ hasStandby: false })
  for (const name of nodes) fleet.start(name)
  await fleet.clock.advance(2_000)
  for (const step of sizes.keys()) fleet.outcomesByTask.set(`aaaa.0.${step}.0`, { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', sizes.map(([, preferredRack]) => ({ isLasting: true, demand: DEMAND_OF_A_TASK, preferredRack })))
  await fleet.clock.advance(3_000)
  return { fleet, racks: racks.map(rack => rack.filter(worker => worker !== null)) }
}

/** Time at which the first run of a task on a worker ended. */
function endOf (worker: EmulatedWorker, task: string): number {
  worker.completeDueRuns()
  return worker.completions.find(completion => completion.task === task)?.completedAt ?? Infinity
}

function restartOf (fleet: EmulatedFleet, task: string): number {
  return Math.min(...fleet.starts(task).flatMap(({ run, at }) => run > 1 ? [at] : []))
}

function findRunning (workers: readonly EmulatedWorker[]): { worker: EmulatedWorker, task: string } {
  const worker = workers.find(({ running }) => running.length > 0)
  const task = worker?.running[0]
  if (!worker || task === undefined) throw new Error('nothing is running')
  return { worker, task }
}

// Guards against a record that names no worker, because none had reported when it was written: its age begins anew with each process.
test.each([0, 100])('a task of a silent rack waits no longer when the next owner is lost %i ms after its first record, before workers that take 100 ms have reported, and all processes start again', { timeout: 60_000 }, async lifetime => {
  const { fleet, racks } = await startRacks([['a', 'r1', 4], ['a', 'r2', 4], ['a', 'r3', 4]])
  const names = [...fleet.nodes.keys()]
  const lost = [fleet.owner()]
  const { worker, task } = findRunning(racks[1] ?? [])
  for (const silent of racks[1] ?? []) silent.isDisconnected = true
  for (const { address } of fleet.emulator.workerIncarnations) fleet.emulator.faults.workerLatencies.set(address, 100)
  await fleet.clock.advance(150)
  const restart = async (milliseconds: number): Promise<void> => {
    for (const name of fleet.nodes.keys()) fleet.kill(name)
    await fleet.clock.advance(milliseconds)
    for (const name of names) if (!lost.includes(name)) fleet.start(name)
  }
  await restart(4_000)
  const findOwner = (): string | undefined => [...fleet.nodes].find(([, { log }]) => log.fieldsOf('leases inherited').length > 0)?.[0]
  while (findOwner() === undefined) await fleet.clock.advance(10)
  await fleet.clock.advance(lifetime)
  lost.push(findOwner() ?? '')
  await restart(1_500)
  const startedAt = fleet.clock.now()
  await fleet.clock.advance(25_000)
  expect(restartOf(fleet, task)).toBeLessThan(Math.max(endOf(worker, task) + RESTART_MILLISECONDS, startedAt + CALM_MILLISECONDS))
  expect(fleet.violations()).toEqual([])
})

// Guards against an odd number of names, of which one of two zones has more than half, and against naming most workers of a rack that has most.
test.each<[string, readonly RackSize[]]>([
  ['one of two equal zones', [['a', 'r1', 8], ['b', 'r2', 8]]],
  ['a rack with eight of 14 workers', [['a', 'r1', 8], ['a', 'r2', 3], ['a', 'r3', 3]]]
])('lasting tasks run again within nine seconds of the loss of %s, although their owner is lost with it', { timeout: 60_000 }, async (_, sizes) => {
  const { fleet, racks } = await startRacks(sizes)
  const { task } = findRunning(racks[0] ?? [])
  for (const silent of racks[0] ?? []) silent.isDisconnected = true
  const lostAt = fleet.clock.now()
  await fleet.clock.advance(150)
  fleet.kill(fleet.owner())
  await fleet.clock.advance(20_000)
  expect(restartOf(fleet, task) - lostAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})

// Guards against names of workers that are about to end: whoever asks them for the age of the record learns nothing.
test('a task of a silent worker waits no longer after a restart of all processes beside the shutdown of workers that were draining', { timeout: 60_000 }, async () => {
  const { fleet, racks } = await startRacks([['a', 'r1', 18], ['a', 'r2', 2]])
  const owner = fleet.owner()
  const names = [...fleet.nodes.keys()]
  const { worker, task } = findRunning(racks[1] ?? [])
  const leaving = (racks[0] ?? []).toSorted((left, right) => left.id < right.id ? -1 : 1).slice(0, 15)
  for (const drained of leaving) fleet.emulator.drain(drained)
  await fleet.clock.advance(2_000)
  for (const silent of racks[1] ?? []) silent.isDisconnected = true
  await fleet.clock.advance(150)
  for (const name of names) fleet.kill(name)
  for (const drained of leaving) fleet.emulator.shutDown(drained)
  await fleet.clock.advance(5_000)
  const startedAt = fleet.clock.now()
  for (const name of names) if (name !== owner) fleet.start(name)
  await fleet.clock.advance(25_000)
  expect(restartOf(fleet, task)).toBeLessThan(Math.max(endOf(worker, task) + RESTART_MILLISECONDS, startedAt + CALM_MILLISECONDS))
  expect(fleet.violations()).toEqual([])
})

/** Silences the second of three racks, restarts all other workers and all processes at once, but not the owner, and returns by how much the task of the silent rack runs again too late, in milliseconds. */
async function delayAfterRestartOfAllOthers (silence: (fleet: EmulatedFleet, worker: EmulatedWorker) => void, downtime: number): Promise<{ delay: number, violations: string[] }> {
  const { fleet, racks: [first = [], second = [], third = []] } = await startRacks([['a', 'r1', 4], ['a', 'r2', 4], ['a', 'r3', 4]])
  const owner = fleet.owner()
  const names = [...fleet.nodes.keys()]
  const { worker, task } = findRunning(second)
  for (const silent of second) silence(fleet, silent)
  await fleet.clock.advance(150)
  for (const name of names) fleet.kill(name)
  for (const restarted of [...first, ...third]) {
    restarted.terminate()
    fleet.emulator.restart(restarted)
  }
  await fleet.clock.advance(downtime)
  const startedAt = fleet.clock.now()
  for (const name of names) if (name !== owner) fleet.start(name)
  await fleet.clock.advance(25_000)
  return { delay: restartOf(fleet, task) - Math.max(endOf(worker, task) + RESTART_MILLISECONDS, startedAt + CALM_MILLISECONDS), violations: fleet.violations() }
}

// Guards against an age that only incarnations of workers show that have ended.
test.each([3_000, 5_000])('a task of a silent rack waits no longer when all other workers and all processes are restarted at once, the owner is lost for good, and the others are back after %i ms', { timeout: 60_000 }, async downtime => {
  const { delay, violations } = await delayAfterRestartOfAllOthers((_, silent) => { silent.isDisconnected = true }, downtime)
  expect(delay).toBeLessThan(0)
  expect(violations).toEqual([])
})

// Guards against the same wait for workers that the platform lists as ended.
test.each([3_000, 5_000])('a task of a rack that has lost power waits no longer when all other workers and all processes are restarted at once, the owner is lost for good, and the others are back after %i ms', { timeout: 60_000 }, async downtime => {
  const { delay, violations } = await delayAfterRestartOfAllOthers(({ emulator }, silent) => emulator.outages.cutPower(silent), downtime)
  expect(delay).toBeLessThan(0)
  expect(violations).toEqual([])
})
