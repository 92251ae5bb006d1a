/**
 * Waves and moves against the platform's emulator.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

test('a wave takes each VM down, at most so many at once, and is said to be completed', async () => {
  const made = new EmulatedFleet(1)
  for (let count = 0; count < 6; count++) made.emulator.addVirtualMachine('work', 'a')
  made.configure()
  made.start('one')
  await made.clock.advance(2_000)
  made.fates.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  made.fates.set('aaaa.0.0.1', { milliseconds: Infinity, result: 'done' })
  await made.submit('one', 'aaaa', [{ count: 2, isLasting: true, disruptionBudget: 1, maximumPerWorker: 1 }])
  await made.clock.advance(1_000)
  made.emulator.publish('wave/1', { wave: 1, machines: ['m-0', 'm-1', 'm-2', 'm-3', 'm-4', 'm-5'], duration_s: 40, max_count: 2 })
  let mostDown = 0
  let leastRunning = 2
  for (let step = 0; step < 400; step++) {
    await made.clock.advance(100)
    const down = [...made.emulator.virtualMachines.byId.values()].filter(({ state }) => state === 'upkeep').length
    mostDown = Math.max(mostDown, down)
    leastRunning = Math.min(leastRunning, made.emulator.workerIncarnations.flatMap(({ running }) => running).length)
  }
  expect(mostDown).toBe(2)
  expect(leastRunning).toBeGreaterThanOrEqual(1)
  for (const { completedWaves: waves } of made.emulator.virtualMachines.byId.values()) expect([...waves]).toEqual([1])
  const status = made.emulator.store.partition('keyed.status').newestRecords().find(({ key }) => key === 'wave/1')
  expect(JSON.parse(status?.value.toString() ?? '{}')).toEqual({ state: 'completed' })
  expect(made.violations()).toEqual([])
})

test('VMs on standby join a pool that has more work than room, and go back when they are idle', async () => {
  const made = new EmulatedFleet(2)
  made.emulator.addVirtualMachine('work', 'a')
  for (let count = 0; count < 3; count++) made.emulator.addVirtualMachine('standby', 'a')
  made.configure()
  made.start('one')
  await made.clock.advance(2_000)
  for (let index = 0; index < 40; index++) made.fates.set(`aaaa.0.0.${index}`, { milliseconds: 5_000, result: 'done' })
  await made.submit('one', 'aaaa', [{ count: 40 }])
  await made.clock.advance(4_000)
  expect([...made.emulator.virtualMachines.byId.values()].filter(({ pool }) => pool === 'work').length).toBeGreaterThan(1)
  await made.clock.advance(20_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect([...made.emulator.virtualMachines.byId.values()].filter(({ pool }) => pool === 'work')).toHaveLength(1)
  expect(made.violations()).toEqual([])
})

test('a new owner orders no maintenance before it knows what runs on the VM', async () => {
  const made = new EmulatedFleet(1)
  for (let count = 0; count < 2; count++) made.emulator.addVirtualMachine('work', 'a')
  made.configure()
  made.start('one')
  made.start('two')
  await made.clock.advance(2_000)
  for (let index = 0; index < 3; index++) made.fates.set(`aaaa.0.0.${index}`, { milliseconds: Infinity, result: 'done' })
  const owner = made.owner()
  const other = made.bystander()
  await made.submit(other, 'aaaa', [{ count: 3, isLasting: true, disruptionBudget: 1 }])
  await made.clock.advance(1_000)
  const machine = made.emulator.workerIncarnations.find(({ running }) => running.length > 0)?.virtualMachine ?? ''
  // The next owner learns of the VMs long before it learns of the workers.
  made.emulator.faults.newestReadDelays.set('keyed.servers', 3_000)
  made.kill(owner)
  made.emulator.publish('wave/1', { wave: 1, machines: [machine], duration_s: 60, max_count: 1 })
  await made.clock.advance(30_000)
  expect(made.emulator.workerIncarnations.flatMap(({ completions: ends }) => ends).filter(({ result: how }) => how === 'killed')).toEqual([])
  expect([...made.emulator.virtualMachines.byId.get(machine)?.completedWaves ?? []]).toEqual([1])
  expect(made.violations()).toEqual([])
})

test('a new owner leaves a VM alone that the one before ordered about just now', async () => {
  const made = new EmulatedFleet(3)
  for (let count = 0; count < 3; count++) made.emulator.addVirtualMachine('work', 'a')
  made.configure()
  made.start('one')
  made.start('two')
  await made.clock.advance(2_000)
  made.emulator.publish('wave/1', { wave: 1, machines: ['m-0', 'm-1', 'm-2'], duration_s: 60, max_count: 1 })
  for (let change = 0; change < 6; change++) {
    await made.clock.advance(1_700)
    const owner = made.owner()
    made.kill(owner)
    made.start(`next-${change}`)
  }
  await made.clock.advance(20_000)
  const { orders } = made.emulator.virtualMachines
  for (const left of orders) {
    for (const right of orders) {
      if (left.virtualMachine === right.virtualMachine && left.holder !== right.holder) expect(Math.abs(left.at - right.at)).toBeGreaterThanOrEqual(3_000)
    }
  }
  expect(orders.length).toBeGreaterThanOrEqual(3)
})
