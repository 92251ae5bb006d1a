/**
 * Tests of runs that the next incarnation of a worker accepted before its owner knew of it.
 */
import { expect, test } from 'vitest'
import { RackFleet } from './support/inherited-starts/rack-fleet.js'

const TASK = 'aaaa.0.0.0'

// Guards against a registry entry that is taken for a proof that a run accepted by the new incarnation has ended.
test.each([2, 5, 10, 50])('a run that the next incarnation of its worker accepted is not started again beside itself when the registry shows that incarnation %i ms later', async milliseconds => {
  const racks = await RackFleet.create(['r1', 'r2', 'r3', 'r4'])
  const { fleet } = racks
  const { emulator, clock } = fleet
  emulator.faults.renewalLatencyMilliseconds = 200
  const handle = emulator.handle.bind(emulator)
  let isRestarted = false
  emulator.handle = async request => {
    if (!request.path.endsWith('run-start') || isRestarted) return handle(request)
    isRestarted = true
    const worker = emulator.workerIncarnations.findLast(({ address }) => address === request.address)
    if (!worker) throw new Error('no worker')
    worker.terminate()
    emulator.faults.registrationMilliseconds = milliseconds
    emulator.restart(worker).stopMilliseconds = 1_000
    return handle(request)
  }
  await racks.submit('aaaa', 'r1', { isLasting: true })
  await clock.advance(10_000)
  expect(fleet.starts(TASK)).not.toEqual([])
  expect(fleet.violations()).toEqual([])
})
