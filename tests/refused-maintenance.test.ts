/**
 * Tests of maintenance waves whose orders the platform refuses for a while.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Time without a run after which a task may count as lost, in milliseconds. */
const LOST_AFTER_MILLISECONDS = 6_000

/** Runs that were killed by an order to their VM. */
function killedRuns (fleet: EmulatedFleet): string[] {
  return fleet.emulator.workerIncarnations.flatMap(({ completions }) => completions).filter(({ result }) => result === 'killed').map(({ task, run }) => `${task}/${run}`)
}

// Guards against a wave that keeps its VMs from tasks, or misses its time, because orders are refused for a part of it.
test.each([1, 2, 6])('a wave of six VMs, %i at once, that is refused for 20 s lets tasks start meanwhile and is completed in time', async maximumAtOnce => {
  const fleet = await EmulatedFleet.create(6, ['one'], 1, false)
  const { virtualMachines } = fleet.emulator
  virtualMachines.refusesOrders = true
  const machines = [...virtualMachines.byId.keys()]
  const publishedAt = fleet.clock.now()
  fleet.emulator.publish('wave/1', { wave: 1, machines, duration_s: 60, max_count: maximumAtOnce })
  await fleet.clock.advance(1_000)
  for (let index = 0; index < 3; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: 3, isLasting: true, maximumPerWorker: 1, disruptionBudget: 1 }])
  await fleet.clock.advance(LOST_AFTER_MILLISECONDS)
  for (let elapsed = 0; elapsed < 13_000; elapsed += 500) {
    const lasting = fleet.emulator.workerIncarnations.flatMap(({ running }) => running).filter(task => task.startsWith('aaaa.'))
    expect(lasting.length).toBeGreaterThanOrEqual(2)
    for (let job = 0; job < 2; job++) await fleet.submit('one', `b${elapsed.toString(16)}${job}`, [{}])
    await fleet.clock.advance(500)
  }
  virtualMachines.refusesOrders = false
  await fleet.clock.advance(publishedAt + 60_000 - fleet.clock.now())
  for (const { completedWaves } of virtualMachines.byId.values()) expect([...completedWaves]).toEqual([1])
  expect(killedRuns(fleet)).toEqual([])
  expect(fleet.violations()).toEqual([])
})

// Guards against a VM that is opened after a refusal although an earlier order to it may still be carried out.
test('a VM whose order got no response keeps its cordon while later orders are refused', async () => {
  const fleet = await EmulatedFleet.create(2, ['one'], 1, false)
  const { virtualMachines, faults: { virtualMachines: faults } } = fleet.emulator
  faults.lateOrders = 1
  faults.lateOrderMilliseconds = 9_000
  fleet.emulator.publish('wave/1', { wave: 1, machines: ['m-0'], duration_s: 60, max_count: 1 })
  while (faults.lateOrders > 0) await fleet.clock.advance(10)
  const lateOrderAt = fleet.clock.now() + faults.lateOrderMilliseconds
  virtualMachines.refusesOrders = true
  await fleet.clock.advance(4_000)
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  fleet.outcomesByTask.set('aaaa.0.0.1', { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: 2, isLasting: true, maximumPerWorker: 1 }])
  await fleet.clock.advance(lateOrderAt - 100 - fleet.clock.now())
  expect(fleet.emulator.workerIncarnations.map(({ virtualMachine, running }) => [virtualMachine, running.length])).toEqual([['m-0', 0], ['m-1', 1]])
  virtualMachines.refusesOrders = false
  await fleet.clock.advance(20_000)
  expect(killedRuns(fleet)).toEqual([])
  expect([...virtualMachines.byId.get('m-0')?.completedWaves ?? []]).toEqual([1])
})
