/**
 * Tests of what the log says of the platform's lists of VMs.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Starts a fleet with a lasting task, and returns the worker that runs it. */
async function startTask (): Promise<{ fleet: EmulatedFleet, worker: EmulatedWorker }> {
  const fleet = await EmulatedFleet.create(3, ['one'], 1, false)
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(2_000)
  const worker = fleet.emulator.workerIncarnations.find(({ running }) => running.length > 0)
  if (!worker) throw new Error('nothing is running')
  return { fleet, worker }
}

function loggedChanges (fleet: EmulatedFleet): unknown[] {
  return fleet.nodes.get('one')?.log.fieldsOf('worker listing changed').map(({ worker, virtualMachine, from, to, present }) => ({ worker, virtualMachine, from, to, present })) ?? []
}

// Guards against an incident in which no log shows whether the platform knew that a silent worker had ended.
test('a list that shows the VM of a worker with tasks without it is logged once, with what it shows instead', async () => {
  const { fleet, worker } = await startTask()
  const row = fleet.emulator.virtualMachines.byId.get(worker.virtualMachine)
  if (!row) throw new Error('the worker has no VM')
  fleet.emulator.outages.cutPower(worker)
  Object.assign(row, { state: 'down', worker: '' })
  await fleet.clock.advance(4_100)
  const change = { worker: worker.id, virtualMachine: worker.virtualMachine }
  expect(loggedChanges(fleet)).toEqual([{ ...change, from: 'up', to: 'down', present: '' }])
})

// Guards against a platform whose lists don't say who has ended, while we rely on them.
test('a worker that responds after a list has lacked it is logged once', async () => {
  const { fleet, worker } = await startTask()
  const row = fleet.emulator.virtualMachines.byId.get(worker.virtualMachine)
  if (!row) throw new Error('the worker has no VM')
  Object.assign(row, { worker: 'i-other' })
  await fleet.clock.advance(8_100)
  Object.assign(row, { worker: worker.id })
  await fleet.clock.advance(4_000)
  expect(fleet.nodes.get('one')?.log.fieldsOf('worker responds that a list lacked').map(({ worker: id, to }) => ({ worker: id, to }))).toEqual([{ worker: worker.id, to: 'replaced' }])
})

test('nothing is logged of workers that stay in the list', async () => {
  const { fleet } = await startTask()
  await fleet.clock.advance(10_000)
  expect(loggedChanges(fleet)).toEqual([])
})
