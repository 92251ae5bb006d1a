/**
 * Tests of runs that are given up because the platform's lists of VMs show that their worker has ended.
 */
import { describe, expect, test } from 'vitest'
import type { FleetVirtualMachineControl } from '../src/capacity/fleet-virtual-machine-control.js'
import { InventoryTask } from '../src/capacity/inventory-task.js'
import { ListedWorkerEnds } from '../src/capacity/listed-worker-ends.js'
import { WorkerListings } from '../src/capacity/worker-listings.js'
import { FleetWorker } from '../src/workers/fleet-worker.js'
import type { WorkerTable } from '../src/workers/worker-table.js'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'
import { FakeClock } from './support/fake-clock.js'
import { RecordingDecisionLog } from './support/recording-decision-log.js'

const TASK = 'aaaa.0.0.0'

const RESOURCES = { millicores: 64_000, memoryMegabytes: 64_000, accelerators: 0 }

/** A row of a list. */
interface Row {
  readonly id?: string | undefined
  readonly state?: string
}

/** Time within which a task runs again after the platform has shown the end of its worker, well below any lease. */
const RESTART_MILLISECONDS = 3_000

/** Starts a fleet with a lasting task, and returns the worker that runs it. */
async function startTask (nodes: readonly string[] = ['one', 'two', 'three']): Promise<{ fleet: EmulatedFleet, worker: EmulatedWorker }> {
  const fleet = await EmulatedFleet.create(4, nodes, 1, false)
  fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(3_000)
  return { fleet, worker: workerOf(fleet, TASK) }
}

function workerOf (fleet: EmulatedFleet, task: string): EmulatedWorker {
  const worker = fleet.emulator.workerIncarnations.find(({ isTerminated, running }) => !isTerminated && running.includes(task))
  if (!worker) throw new Error('the task does not run')
  return worker
}

/** Changes what the lists show of the VM of a worker. */
function list (fleet: EmulatedFleet, worker: EmulatedWorker, row: { state?: 'up' | 'moving' | 'upkeep' | 'down', worker: string }): void {
  Object.assign(fleet.emulator.virtualMachines.byId.get(worker.virtualMachine) ?? {}, row)
}

/** Changes the rows of the lists before they are sent. */
function interceptLists ({ emulator: { virtualMachines } }: EmulatedFleet, change: (rows: () => Row[]) => Row[]): void {
  const original = virtualMachines.list.bind(virtualMachines)
  virtualMachines.list = (...rest: Parameters<typeof original>) => ({ machines: change(() => (original(...rest) as { machines: Row[] }).machines) })
}

/** Cuts the power of a worker's VM, which is listed as down. */
function cutPower (fleet: EmulatedFleet, worker: EmulatedWorker): void {
  fleet.emulator.outages.cutPower(worker)
  list(fleet, worker, { state: 'down', worker: '' })
}

/** Loses all processes, of which the owner never returns. */
async function restartProcesses (fleet: EmulatedFleet, downtime: number): Promise<void> {
  const owner = fleet.owner()
  const names = [...fleet.nodes.keys()]
  for (const name of names) fleet.kill(name)
  await fleet.clock.advance(downtime)
  for (const name of names) if (name !== owner) fleet.start(name)
}

function lastStartOf (fleet: EmulatedFleet, task = TASK): { run: number, at: number } {
  return fleet.starts(task).reduce((last, start) => start.run > last.run ? start : last)
}

// Guards against a lasting task that waits for a lease of five seconds although the platform has shown at once that its worker is over.
test('a task of a worker that has lost power runs again before the lease of the worker has expired', async () => {
  const { fleet, worker } = await startTask()
  const lostAt = fleet.clock.now()
  cutPower(fleet, worker)
  await fleet.clock.advance(15_000)
  expect(lastStartOf(fleet).at - lostAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.starts(TASK)).toHaveLength(2)
  expect(fleet.violations()).toEqual([])
})

describe('a new owner', () => {
  // Guards against the longest lease that an owner who is gone may have extended, which only workers could bound: here all have restarted.
  test.each([
    ['lost power', (fleet: EmulatedFleet, worker: EmulatedWorker) => cutPower(fleet, worker)],
    ['is gone with its VM', (fleet: EmulatedFleet, worker: EmulatedWorker) => {
      fleet.emulator.outages.cutPower(worker)
      fleet.emulator.virtualMachines.byId.delete(worker.virtualMachine)
    }],
    ['was moved by the last owner', (fleet: EmulatedFleet, worker: EmulatedWorker) => {
      fleet.emulator.outages.cutPower(worker)
      list(fleet, worker, { state: 'moving', worker: '' })
    }],
    ['has a successor on its VM', (fleet: EmulatedFleet, worker: EmulatedWorker) => {
      fleet.emulator.outages.cutPower(worker)
      list(fleet, worker, { worker: 'i-successor' })
    }]
  ])('does not wait for the lease of a worker that %s, although no worker can tell the age of the last record', async (_, end) => {
    const { fleet, worker } = await startTask()
    end(fleet, worker)
    await fleet.clock.advance(100)
    const survivors = fleet.emulator.workerIncarnations.filter(({ isTerminated }) => !isTerminated)
    for (const survivor of survivors) {
      survivor.terminate()
      fleet.emulator.restart(survivor)
    }
    await restartProcesses(fleet, 1_500)
    const startedAt = fleet.clock.now()
    await fleet.clock.advance(20_000)
    expect(lastStartOf(fleet).run).toBe(2)
    expect(lastStartOf(fleet).at - startedAt).toBeLessThan(RESTART_MILLISECONDS + 1_000)
    expect(fleet.violations()).toEqual([])
  })

  test('waits for the lease of a worker that the lists still have', async () => {
    const { fleet, worker } = await startTask()
    fleet.emulator.outages.disconnect(worker)
    await restartProcesses(fleet, 500)
    await fleet.clock.advance(25_000)
    expect(lastStartOf(fleet).run).toBe(2)
    expect(fleet.violations()).toEqual([])
  })
})

describe('a worker that is only cut off keeps its run until its lease has expired', () => {
  test.each<[string, (fleet: EmulatedFleet, worker: EmulatedWorker, round: number) => void]>([
    ['although every second list shows its VM without it', (fleet, worker, round) => list(fleet, worker, { worker: round % 2 === 0 ? '' : worker.id })],
    ['although every second list lacks its VM', (fleet, worker, round) => { if (round % 2 === 0) fleet.emulator.virtualMachines.missingInNextList.add(worker.virtualMachine) }],
    ['although the lists, in which a row cannot be decoded, lack its VM', (fleet, worker) => {
      fleet.emulator.virtualMachines.missingInNextList.add(worker.virtualMachine)
      fleet.emulator.virtualMachines.oddRows.splice(0, Infinity, { machine: 7 })
    }],
    ['although lists lack different VMs each', (fleet, worker, round) => {
      const others = [...fleet.emulator.virtualMachines.byId.keys()].filter(id => id !== worker.virtualMachine)
      for (const id of [worker.virtualMachine, others[round % others.length] ?? '']) fleet.emulator.virtualMachines.missingInNextList.add(id)
    }]
  ])('%s', async (_, change) => {
    const { fleet, worker } = await startTask(['one'])
    fleet.emulator.outages.disconnect(worker)
    const listed = { count: 0 }
    interceptLists(fleet, rows => {
      change(fleet, worker, listed.count++)
      return rows()
    })
    await fleet.clock.advance(25_000)
    expect(listed.count).toBeGreaterThan(10)
    expect(fleet.nodes.get('one')?.log.fieldsOf('worker end shown')).toEqual([])
    expect(lastStartOf(fleet).run).toBe(2)
    expect(fleet.violations()).toEqual([])
  })
})

// Guards against a list that is older than the worker: it says nothing of one that has just joined, or has responded since.
test.each<[string, number, number, 'unexplained' | null]>([
  ['300 ms after the worker was known', 1_000, 0, 'unexplained'],
  ['sooner than 300 ms after the worker was known', 1_001, 0, null],
  ['300 ms after its last report', 0, 1_000, 'unexplained'],
  ['sooner than 300 ms after its last report', 0, 1_001, null]
])('two lists without a worker, the first requested %s', (_, knownAt, reportedAt, end) => {
  const clock = new FakeClock(0)
  const log = new RecordingDecisionLog()
  const worker = new FleetWorker({ id: 'i-1', incarnation: 1, pool: 'work', address: '10.0.0.1:80', availabilityZone: 'a', capacity: RESOURCES, labels: [], isDraining: false }, Infinity, Infinity, { maximumLeaseMilliseconds: 6_000, maximumCallDelayMilliseconds: 12_000 })
  worker.incarnationKnownAt = knownAt
  if (reportedAt > 0) worker.recordReport(0, reportedAt, reportedAt)
  const listings = new WorkerListings({ get all () { return [worker].values() } } as unknown as WorkerTable, () => false, log)
  const ends = new ListedWorkerEnds(listings, new InventoryTask({} as FleetVirtualMachineControl, listings, clock, log))
  const row = { id: 'm-1', pool: 'work', state: 'down' as const, availabilityZone: 'a', labels: [], capacity: RESOURCES, worker: '' }
  listings.apply([row], 1_300, 1_310)
  expect(ends.endOf(worker)).toBe(null)
  listings.apply([row], 1_700, 1_710)
  expect(ends.endOf(worker)).toBe(end)
})

// Guards against a start that got no response and is carried out late by the next incarnation under the ID, which has seen no fencing token.
test('a run whose start got no response is not given up because its worker has ended', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'], 1, false)
  for (const task of [TASK, 'bbbb.0.0.0']) fleet.outcomesByTask.set(task, { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(1_500)
  const worker = workerOf(fleet, TASK)
  fleet.emulator.faults.lateStarts = 1
  fleet.emulator.faults.lateStartMilliseconds = 60_000
  await fleet.submit('one', 'bbbb', [{ isLasting: true }])
  await fleet.clock.advance(100)
  fleet.emulator.addVirtualMachine('work', 'a')
  cutPower(fleet, worker)
  await fleet.clock.advance(3_500)
  expect(fleet.nodes.get('one')?.log.fieldsOf('run lost').map(({ task }) => task)).toEqual([TASK])
  await fleet.clock.advance(20_000)
  expect(['aaaa', 'bbbb'].map(job => lastStartOf(fleet, `${job}.0.0.0`).run)).toEqual([2, 2])
  expect(fleet.violations()).toEqual([])
})

// Guards against a release by an owner that isn't one any more: the record that releases a run comes before the next start.
test('an owner without the store starts nothing anew for workers of which the lists show that they have ended', async () => {
  const { fleet, worker } = await startTask()
  const owner = fleet.owner()
  fleet.emulator.faults.disconnectedCallers.add(owner)
  cutPower(fleet, worker)
  await fleet.clock.advance(20_000)
  expect(fleet.owner()).not.toBe(owner)
  expect(fleet.starts(TASK)).toHaveLength(2)
  expect(fleet.violations()).toEqual([])
})

// Guards against crashes that are forgotten because their runs are given up sooner: after them a task is started three times more at most.
test.each([false, true])('a worker that crashed under a run counts once another incarnation proves it, under its ID: %s', async keepsId => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'], 1, false)
  fleet.emulator.faults.crashDowntimeMilliseconds = 4_000
  fleet.emulator.faults.keepsIdAfterCrash = keepsId
  fleet.outcomesByTask.set('dead.0.0.0', { milliseconds: 200, result: 'crash' })
  interceptLists(fleet, rows => rows().map(({ id, ...row }) => {
    const isAlive = fleet.emulator.workerIncarnations.some(worker => worker.id === id && !worker.isTerminated)
    return isAlive ? { ...row, id } : { ...row, state: 'down' }
  }))
  await fleet.submit('one', 'dead', [{}])
  await fleet.clock.advance(120_000)
  expect(fleet.nodes.get(fleet.owner())?.log.fieldsOf('worker end shown').length).toBeGreaterThan(1)
  expect(fleet.starts('dead.0.0.0').length).toBeLessThanOrEqual(5)
  expect(await fleet.state('one', 'dead')).toEqual({ kind: 'state', state: 'failed' })
})
