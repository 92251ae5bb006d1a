/**
 * Tests of whether an order to a VM can end runs that the owner has placed on its worker, or knows from the journal alone.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** A task that leaves no room for another one on its worker. */
const LARGE_TASK = { demand: { millicores: 40_000, memoryMegabytes: 64, accelerators: 0 }, isLasting: true }

/**
 * Starts a fleet of two pools and a standby pool.
 *
 * @param lateMilliseconds delay of the orders to VMs, which get no response; 0 for none.
 * @param refusesOrders whether the platform refuses all orders to VMs.
 */
async function startFleet (pools: readonly string[], lateMilliseconds = 0, refusesOrders = false): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet(1)
  fleet.emulator.virtualMachines.refusesOrders = refusesOrders
  const { virtualMachines } = fleet.emulator.faults
  if (lateMilliseconds > 0) virtualMachines.lateOrders = 100
  virtualMachines.lateOrderMilliseconds = lateMilliseconds
  for (const pool of pools) fleet.emulator.addVirtualMachine(pool, 'a')
  const route = { host: 'fleet.example', target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 }
  fleet.configure({ services: [{ name: 'mail', rejects_overload: true }], routes: [{ ...route, name: 'queue-mail', path_prefix: '/mail/', service: 'mail' }] })
  for (const name of ['one', 'two', 'three']) fleet.start(name)
  await fleet.clock.advance(2_000)
  return fleet
}

/** Submits a job of large tasks that last, without awaiting the response. */
function submit (fleet: EmulatedFleet, node: string, id: string, count: number, pathPrefix = '/q/'): void {
  for (let index = 0; index < count; index++) fleet.outcomesByTask.set(`${id}.0.0.${index}`, { milliseconds: Infinity, result: 'done' })
  fleet.submit(node, id, [{ ...LARGE_TASK, count }], {}, undefined, pathPrefix).catch(() => {})
}

/** Advances time until a condition holds. */
async function advanceUntil (fleet: EmulatedFleet, condition: () => boolean, limit = 20_000): Promise<void> {
  for (let elapsed = 0; !condition(); elapsed += 10) {
    if (elapsed >= limit) throw new Error('the condition does not come true')
    await fleet.clock.advance(10)
  }
}

/** Runs that ended with their worker. */
function killedRuns (fleet: EmulatedFleet): string[] {
  return fleet.emulator.workerIncarnations.flatMap(({ id, completions }) => completions.filter(({ result }) => result === 'killed').map(({ task, run }) => `${task}/${run} on ${id}`))
}

function workerOf (fleet: EmulatedFleet, virtualMachine: string): EmulatedWorker {
  const worker = fleet.emulator.workerIncarnations.find(candidate => candidate.virtualMachine === virtualMachine && fleet.emulator.isCurrent(candidate))
  if (!worker) throw new Error('no worker')
  return worker
}

function isOrdered (fleet: EmulatedFleet, virtualMachine: string): boolean {
  return fleet.emulator.store.partition('keyed.decisions').newestRecords().some(({ key }) => key === `order/${virtualMachine}`)
}

// Guards against a list from before the VM got its worker.
test('a VM that a late order of an earlier owner has taken from the standby pool is not moved on with its runs', async () => {
  const fleet = await startFleet(['work', 'mail', 'standby'])
  const { virtualMachines } = fleet.emulator
  fleet.kill(fleet.owner())
  await fleet.clock.advance(8_000)
  const owner = fleet.owner()
  let listedAt = 0
  const list = virtualMachines.list.bind(virtualMachines)
  virtualMachines.list = at => {
    listedAt = fleet.clock.now()

    return list(at)
  }
  await advanceUntil(fleet, () => listedAt > 0)
  virtualMachines.order('machine-move', { machine: 'm-2', pool: 'work' }, 'earlier', 0)
  await fleet.clock.advance(1_510)
  submit(fleet, owner, 'aaaa', 2)
  submit(fleet, owner, 'bbbb', 6, '/mail/')
  await fleet.clock.advance(10_000)
  expect(killedRuns(fleet)).toEqual([])
})

// Guards against placements on a worker whose VM an earlier owner has ordered about.
test.each([2_000, 5_000, 12_000])('an order of an earlier owner that is carried out %i ms late ends no run that the next one has placed', async late => {
  const fleet = await startFleet(['work', 'work', 'work', 'mail'], late)
  const { faults } = fleet.emulator
  await advanceUntil(fleet, () => fleet.emulator.store.partition('keyed.decisions').newestRecords().some(({ key }) => key.startsWith('order/')))
  await fleet.clock.advance(20)
  fleet.kill(fleet.owner())
  faults.virtualMachines.lateOrders = 0
  submit(fleet, [...fleet.nodes.keys()][0] ?? '', 'aaaa', 3)
  await fleet.clock.advance(20_000)
  expect(killedRuns(fleet)).toEqual([])
})

// Guards against VMs that wait for an order of an earlier owner for longer than another owner has to wait with its own.
test.each([5_000, 12_000])('tasks that need the VMs of an order that comes %i ms late run within eight seconds of the loss of its owner', async late => {
  const fleet = await startFleet(['work', 'work', 'work', 'mail'], late)
  const { faults } = fleet.emulator
  await advanceUntil(fleet, () => fleet.emulator.store.partition('keyed.decisions').newestRecords().some(({ key }) => key.startsWith('order/')))
  await fleet.clock.advance(20)
  const lostAt = fleet.clock.now()
  fleet.kill(fleet.owner())
  faults.virtualMachines.lateOrders = 0
  submit(fleet, [...fleet.nodes.keys()][0] ?? '', 'aaaa', 3)
  await fleet.clock.advance(20_000)
  const startedAt = [0, 1, 2].map(index => Math.min(...fleet.starts(`aaaa.0.0.${index}`).map(({ at }) => at)) - lostAt)
  expect(Math.max(...startedAt)).toBeLessThan(8_000)
  expect(fleet.violations()).toEqual([])
})

// Guards against VMs that the next owner keeps free for an order which the platform has refused.
test('tasks that need VMs whose moves the platform has refused run as soon as there is another owner', async () => {
  const fleet = await startFleet(['work', 'work', 'work', 'mail'], 0, true)
  await advanceUntil(fleet, () => isOrdered(fleet, 'm-1') || isOrdered(fleet, 'm-0'))
  await fleet.clock.advance(100)
  const lostAt = fleet.clock.now()
  fleet.kill(fleet.owner())
  submit(fleet, [...fleet.nodes.keys()][0] ?? '', 'aaaa', 3)
  await fleet.clock.advance(20_000)
  const startedAt = [0, 1, 2].map(index => Math.min(...fleet.starts(`aaaa.0.0.${index}`).map(({ at }) => at)) - lostAt)
  expect(Math.max(...startedAt)).toBeLessThan(3_000)
})

// Guards against VMs that stay without tasks because no list shows what has become of their order.
test('tasks that need the VMs of an order without a response run while there are no lists of VMs', async () => {
  const fleet = await startFleet(['work', 'work', 'work', 'mail'], 30_000)
  const { faults } = fleet.emulator
  await advanceUntil(fleet, () => isOrdered(fleet, 'm-1') || isOrdered(fleet, 'm-0'))
  await fleet.clock.advance(20)
  faults.virtualMachines.isListAway = true
  fleet.kill(fleet.owner())
  submit(fleet, [...fleet.nodes.keys()][0] ?? '', 'aaaa', 3)
  await fleet.clock.advance(20_000)
  expect([0, 1, 2].filter(index => fleet.starts(`aaaa.0.0.${index}`).length === 0)).toEqual([])
})

/** Lets a worker be forgotten and listed again. */
async function forget (fleet: EmulatedFleet, worker: EmulatedWorker): Promise<void> {
  fleet.emulator.registry.remove(worker)
  await fleet.clock.advance(4_000)
  fleet.emulator.registry.register(worker)
}

/** Lets another worker start on a VM. */
async function replace (fleet: EmulatedFleet, worker: EmulatedWorker): Promise<void> {
  fleet.emulator.replace(worker, fleet.clock.now() + 500).catch(() => {})
  await fleet.clock.advance(1_000)
}

const CHANGES = [['forgotten and listed again', forget], ['replaced', replace]] as const

// Guards against a worker that nothing cordons, because it has been listed since an order to its VM was sent.
test.each(CHANGES)('a worker that is %s while a move of its VM has no response gets no run that the move ends', async (_, change) => {
  const fleet = await startFleet(['work', 'work', 'mail'], 30_000)
  fleet.emulator.faults.virtualMachines.lateOrders = 3
  await advanceUntil(fleet, () => isOrdered(fleet, 'm-1') || isOrdered(fleet, 'm-0'))
  await change(fleet, workerOf(fleet, isOrdered(fleet, 'm-1') ? 'm-1' : 'm-0'))
  submit(fleet, fleet.owner(), 'aaaa', 2)
  await fleet.clock.advance(12_000)
  expect(killedRuns(fleet)).toEqual([])
})

// Guards against the same with maintenance.
test.each(CHANGES)('a worker that is %s while the maintenance of its VM has no response gets no run that the maintenance ends', async (_, change) => {
  const fleet = await startFleet(['work', 'mail'], 30_000)
  fleet.emulator.faults.virtualMachines.lateOrders = 3
  fleet.emulator.publish('wave/1', { wave: 1, machines: ['m-0'], duration_s: 60, max_count: 1 })
  await advanceUntil(fleet, () => isOrdered(fleet, 'm-0'))
  await change(fleet, workerOf(fleet, 'm-0'))
  submit(fleet, fleet.owner(), 'aaaa', 1)
  await fleet.clock.advance(12_000)
  expect(killedRuns(fleet)).toEqual([])
})

/** Starts a fleet with a lasting task on each of two workers, and takes the entry of one from the registry. */
async function startUnlisted (): Promise<{ fleet: EmulatedFleet, unlisted: EmulatedWorker }> {
  const fleet = await startFleet(['work', 'work', 'work', 'mail', 'standby'])
  submit(fleet, fleet.owner(), 'aaaa', 2)
  await fleet.clock.advance(2_000)
  const unlisted = fleet.emulator.workerIncarnations.find(({ running }) => running.length > 0)
  if (!unlisted) throw new Error('nothing is running')
  return { fleet, unlisted }
}

// Guards against an order to a VM whose worker only the journal names.
test.each(['a wave', 'demand of another pool'])('%s sends no order to a VM whose worker has a run that only the journal names', async cause => {
  const { fleet, unlisted } = await startUnlisted()
  const { emulator } = fleet
  emulator.outages.disconnect(unlisted)
  emulator.registry.remove(unlisted)
  fleet.kill(fleet.owner())
  if (cause === 'a wave') emulator.publish('wave/1', { wave: 1, machines: [unlisted.virtualMachine], duration_s: 60, max_count: 1 })
  else submit(fleet, [...fleet.nodes.keys()][0] ?? '', 'bbbb', 6, '/mail/')
  const running: string[] = []
  const order = emulator.virtualMachines.order.bind(emulator.virtualMachines)
  emulator.virtualMachines.order = (...parameters) => {
    if (parameters[1].machine === unlisted.virtualMachine) running.push(...unlisted.running)
    return order(...parameters)
  }
  await fleet.clock.advance(25_000)
  expect(running).toEqual([])
  expect(emulator.virtualMachines.byId.get(unlisted.virtualMachine)?.completedWaves.size).toBe(cause === 'a wave' ? 1 : 0)
  expect(fleet.violations()).toEqual([])
  expect(fleet.starts('aaaa.0.0.0').length + fleet.starts('aaaa.0.0.1').length).toBe(3)
})
