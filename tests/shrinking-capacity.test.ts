/**
 * Tests that no start exceeds the capacity of a worker, also while it shrinks; the emulated workers start whatever they are told.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Processors that each task reserves, in millicores. */
const TASK_MILLICORES = 4_000

/** The platform's time after which a smaller capacity counts: the time without contact that it tolerates, and one registration. */
const CAPACITY_GRACE_MILLISECONDS = 4_500

/** Starts beyond the largest capacity that a worker has had within the grace period. */
function excessiveStarts (workers: readonly EmulatedWorker[]): string[] {
  return workers.flatMap(({ id, starts, completions, capacities }) => starts.flatMap(({ task, run, startedAt }) => {
    const isActive = (other: { task: string, run: number, startedAt: number }): boolean =>
      other.startedAt <= startedAt && (completions.find(completion => completion.task === other.task && completion.run === other.run)?.completedAt ?? Infinity) > startedAt
    const active = starts.filter(isActive).length
    const counted = capacities.filter((_, index) => (capacities[index + 1]?.since ?? Infinity) > startedAt - CAPACITY_GRACE_MILLISECONDS).map(({ cpu }) => cpu)
    return active * TASK_MILLICORES > Math.max(...counted) ? [`${task}/${run} on ${id}`] : []
  }))
}

/** A fleet with a pool whose workers don't refuse what exceeds their capacity. */
async function createFleet (workers: number, processes: readonly string[]): Promise<EmulatedFleet> {
  const fleet = new EmulatedFleet(1)
  for (let count = 0; count < workers; count++) fleet.emulator.addVirtualMachine('work', 'a')
  fleet.configure({ hasStandby: false, rejectsOverload: false })
  for (const name of processes) fleet.start(name)
  await fleet.clock.advance(2_500)
  return fleet
}

/** Submits more work than the workers can run at once. */
async function submitLoad (fleet: EmulatedFleet, job: string, node = 'one'): Promise<void> {
  for (let index = 0; index < 12; index++) fleet.outcomesByTask.set(`${job}.0.0.${index}`, { milliseconds: 1_500, result: 'done' })
  await fleet.submit(node, job, [{ count: 12 }])
}

test('no start exceeds a capacity that shrinks and grows while tasks run', async () => {
  const fleet = await createFleet(2, ['one', 'two'])
  for (let round = 0; round < 8; round++) {
    for (const [index, worker] of fleet.emulator.workerIncarnations.entries()) fleet.emulator.resize(worker, { cpu: (round + index) % 2 === 0 ? 8_000 : 32_000, mem_mb: 131_072 })
    await submitLoad(fleet, `a${round}`)
    await fleet.clock.advance(5_000)
  }
  await fleet.clock.advance(30_000)
  for (let round = 0; round < 8; round++) expect(await fleet.state('two', `a${round}`)).toEqual({ kind: 'state', state: 'completed' })
  expect(excessiveStarts(fleet.emulator.workerIncarnations)).toEqual([])
})

test('nothing starts while it is not known whether the capacity has shrunk', async () => {
  const fleet = await createFleet(1, ['one', 'two'])
  fleet.emulator.faults.unreadableTopics.add('keyed.servers')
  await fleet.clock.advance(1_000)
  for (const worker of fleet.emulator.workerIncarnations) fleet.emulator.resize(worker, { cpu: 8_000, mem_mb: 131_072 })
  await fleet.clock.advance(6_000)
  await submitLoad(fleet, 'aaaa')
  await fleet.clock.advance(5_000)
  expect(excessiveStarts(fleet.emulator.workerIncarnations)).toEqual([])
  fleet.emulator.faults.unreadableTopics.clear()
  await fleet.clock.advance(20_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(excessiveStarts(fleet.emulator.workerIncarnations)).toEqual([])
})

test('a start that waits for the store is not sent if the capacity has shrunk meanwhile', async () => {
  const fleet = await createFleet(1, ['one'])
  fleet.emulator.faults.appendDelays.set('keyed.decisions', 6_000)
  await submitLoad(fleet, 'aaaa')
  await fleet.clock.advance(500)
  for (const worker of fleet.emulator.workerIncarnations) fleet.emulator.resize(worker, { cpu: 8_000, mem_mb: 131_072 })
  await fleet.clock.advance(7_000)
  fleet.emulator.faults.appendDelays.clear()
  await fleet.clock.advance(40_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(excessiveStarts(fleet.emulator.workerIncarnations)).toEqual([])
})

test('a worker that restarts with less capacity gets no more than that before it has registered', async () => {
  const fleet = await createFleet(1, ['one'])
  const [worker] = fleet.emulator.workerIncarnations
  if (!worker) throw new Error('no worker')
  fleet.emulator.faults.registrationMilliseconds = 1_500
  fleet.emulator.crash(worker)
  await fleet.clock.advance(300)
  fleet.emulator.restart(worker, { cpu: 8_000, mem_mb: 131_072 })
  await fleet.clock.advance(600)
  await submitLoad(fleet, 'aaaa')
  await fleet.clock.advance(30_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(excessiveStarts(fleet.emulator.workerIncarnations)).toEqual([])
})

test('a run that is being stopped counts until it has ended, also if its task is done elsewhere', async () => {
  const fleet = await createFleet(2, ['one'])
  for (const worker of fleet.emulator.workerIncarnations) {
    fleet.emulator.resize(worker, { cpu: 4_000, mem_mb: 131_072 })
    worker.stopMilliseconds = 400
  }
  await fleet.clock.advance(500)
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 2_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(1_000)
  const first = fleet.emulator.workerIncarnations.find(({ running }) => running.length > 0)
  if (first) first.isDisconnected = true
  // The run is done behind the cut; after the lease has expired, the task starts again on the other worker.
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 60_000, result: 'done' })
  await fleet.clock.advance(14_000)
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(2)
  for (let index = 0; index < 2; index++) await fleet.submit('one', `bbb${index}`, [{}])
  if (first) first.isDisconnected = false
  await fleet.clock.advance(10_000)
  for (const job of ['aaaa', 'bbb0', 'bbb1']) expect(await fleet.state('one', job)).toEqual({ kind: 'state', state: 'completed' })
  expect(excessiveStarts(fleet.emulator.workerIncarnations)).toEqual([])
})

test('nothing starts beside a run that no placement accounts for until it has ended', async () => {
  const fleet = await createFleet(1, ['one'])
  const [worker] = fleet.emulator.workerIncarnations
  if (!worker) throw new Error('no worker')
  fleet.emulator.resize(worker, { cpu: 4_000, mem_mb: 131_072 })
  worker.stopMilliseconds = 400
  await fleet.clock.advance(CAPACITY_GRACE_MILLISECONDS)
  fleet.outcomesByTask.set('cccc.0.0.0', { milliseconds: 60_000, result: 'done' })
  const term = Number(fleet.nodes.get('one')?.log.fieldsOf('term begins')[0]?.term)
  await worker.handle('run-start', { task: 'cccc.0.0.0', run: 1, deadline_ms: worker.clockMilliseconds + 60_000, fencing_token: term } as never)
  while (fleet.nodes.get('one')?.log.fieldsOf('orphaned run').length === 0) await fleet.clock.advance(10)
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(5_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(excessiveStarts(fleet.emulator.workerIncarnations)).toEqual([])
})
