/**
 * Tests of how many tasks of a lasting step the owner's own actions end at a time.
 */
import { expect, test } from 'vitest'
import { disruptionBudgetViolations } from '../stand-ins/emulator/disruption-budget-violations.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

const TASKS = ['aaaa.0.0.0', 'aaaa.0.0.1', 'aaaa.0.0.2'] as const

// Guards against a run whose first report is still to come being taken for one that isn't at work.
test('maintenance does not end a run that has just started while another task of its step is away', async () => {
  const fleet = await EmulatedFleet.create(6, ['one'], 1, false)
  for (const task of TASKS) fleet.outcomesByTask.set(task, { milliseconds: Infinity, result: 'done' })
  fleet.outcomesByTask.set(TASKS[0], { milliseconds: 5_000, result: 'failed' })
  await fleet.submit('one', 'aaaa', [{ count: TASKS.length, isLasting: true, disruptionBudget: 1, maximumPerWorker: 1 }])
  await fleet.clock.advance(2_000)
  fleet.outcomesByTask.set(TASKS[0], { milliseconds: Infinity, result: 'done' })
  const silent = fleet.emulator.workerIncarnations.find(({ running }) => running.includes(TASKS[1]))
  if (!silent) throw new Error('nothing is running')
  silent.isDisconnected = true
  while (fleet.starts(TASKS[0]).length < 2) await fleet.clock.advance(10)
  const worker = fleet.emulator.workerIncarnations.find(({ running }) => running.includes(TASKS[0]))
  fleet.emulator.publish('wave/1', { wave: 1, machines: [worker?.virtualMachine], duration_s: 60, max_count: 1 })
  await fleet.clock.advance(20_000)
  const stopped = worker?.completions.find(({ task, run }) => task === TASKS[0] && run === 2)
  expect(stopped?.completedAt).toBeGreaterThan(fleet.starts(TASKS[1]).find(({ run }) => run === 2)?.at ?? Infinity)
  expect(fleet.violations()).toEqual([])
})

// Guards against starts that are stopped because their responses were late, although the tasks are at work by then.
test.each([['responses are lost', 0], ['workers are slow', 700]])('lasting tasks whose %s at their start stay at work', async (_, latencyMilliseconds) => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'], 1, false)
  const { faults, workerIncarnations, virtualMachines: { orders } } = fleet.emulator
  for (const task of TASKS) fleet.outcomesByTask.set(task, { milliseconds: Infinity, result: 'done' })
  if (latencyMilliseconds === 0) faults.unansweredCallers.set(fleet.owner(), 'workers')
  else for (const { address } of workerIncarnations) faults.workerLatencies.set(address, latencyMilliseconds)
  const acceptedAt = fleet.clock.now()
  fleet.send(fleet.owner(), 'aaaa', [{ count: TASKS.length, isLasting: true, disruptionBudget: 1, maximumPerWorker: 1 }]).catch(() => {})
  await fleet.clock.advance(1_000)
  faults.unansweredCallers.clear()
  faults.workerLatencies.clear()
  await fleet.clock.advance(10_000)
  const steps = [{ name: 'aaaa.0.0', tasks: TASKS.length, budget: 1, acceptedAt, cancelledAt: Infinity }]
  expect(disruptionBudgetViolations({ workers: workerIncarnations, orders, steps, noticeMilliseconds: 4_500, isCalm: () => true })).toEqual([])
  expect(TASKS.map(task => fleet.starts(task).length)).toEqual([1, 1, 1])
  expect(fleet.violations()).toEqual([])
})

// Guards against a run that the previous owner is stopping being taken for one at work, because its worker reports it until the stop is over.
test.each([100, 400])('an owner that takes over while the previous one stops a task in %i ms does not stop another task of its step', async stopMilliseconds => {
  const fleet = new EmulatedFleet(1)
  const { emulator } = fleet
  emulator.faults.stopMilliseconds = stopMilliseconds
  for (let count = 0; count < 6; count++) emulator.addVirtualMachine('work', 'a')
  fleet.configure({ hasStandby: false })
  for (const name of ['one', 'two']) fleet.start(name)
  await fleet.clock.advance(2_000)
  for (const task of TASKS) fleet.outcomesByTask.set(task, { milliseconds: Infinity, result: 'done' })
  const acceptedAt = fleet.clock.now()
  await fleet.submit('one', 'aaaa', [{ count: TASKS.length, isLasting: true, disruptionBudget: 1, maximumPerWorker: 1 }])
  await fleet.clock.advance(2_000)
  const { virtualMachine: first = '' } = emulator.workerIncarnations.find(({ running }) => running.includes(TASKS[2])) ?? {}
  const { virtualMachine: second = '' } = emulator.workerIncarnations.find(({ running }) => running.includes(TASKS[0])) ?? {}
  emulator.publish('wave/1', { wave: 1, machines: [first], duration_s: 60, max_count: 1 })
  while (!emulator.workerIncarnations.some(({ stopOrders }) => stopOrders.length > 0)) await fleet.clock.advance(1)
  emulator.publish('wave/2', { wave: 2, machines: [second], duration_s: 60, max_count: 1 })
  await fleet.shutDown(fleet.owner())
  await fleet.clock.advance(20_000)
  const steps = [{ name: 'aaaa.0.0', tasks: TASKS.length, budget: 1, acceptedAt, cancelledAt: Infinity }]
  expect(emulator.virtualMachines.orders).toHaveLength(2)
  expect(disruptionBudgetViolations({ workers: emulator.workerIncarnations, orders: emulator.virtualMachines.orders, steps, noticeMilliseconds: 4_500, isCalm: () => true })).toEqual([])
})
