/**
 * Tests of runs that began on the next incarnation of their worker, when their owner is lost.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'
import { RackFleet } from './support/inherited-starts/rack-fleet.js'

const TASK = 'aaaa.0.0.0'

/** Time after its start at which the next incarnation registers, in milliseconds: its first report comes before. */
const REGISTRATION_MILLISECONDS = 1_000

/** Keeps back the next start until the worker that it is for has restarted under its ID; the owner gets the response of the new incarnation. */
function restartBeforeNextStart ({ clock, emulator }: EmulatedFleet): { restarted: EmulatedWorker | null } {
  const found: { restarted: EmulatedWorker | null } = { restarted: null }
  const handle = emulator.handle.bind(emulator)
  emulator.handle = async request => {
    if (!request.path.endsWith('run-start') || found.restarted) return handle(request)
    const worker = emulator.workerIncarnations.findLast(({ address }) => address === request.address)
    if (!worker) throw new Error('no worker')
    worker.terminate()
    emulator.faults.registrationMilliseconds = REGISTRATION_MILLISECONDS
    found.restarted = emulator.restart(worker)
    await clock.sleepUntil(clock.now() + 5)
    return handle(request)
  }
  return found
}

// Guards against a journal that names the incarnation before the one on which a run began.
test.each([[true, 'is cut off'], [false, 'is cut off'], [true, 'takes a second to stop runs'], [false, 'takes a second to stop runs']])('a run that began on the next incarnation of its worker (lasting: %s) is not started again beside itself after the loss of its owner, although the worker %s', async (isLasting, state) => {
  const racks = await RackFleet.create(['r1', 'r2', 'r3', 'r4'])
  const { fleet } = racks
  const found = restartBeforeNextStart(fleet)
  await racks.submit('aaaa', 'r1', { isLasting })
  await fleet.clock.advance(1_500)
  const worker = racks.workerOf(TASK)
  expect(worker).toBe(found.restarted)
  if (state === 'is cut off') fleet.emulator.outages.disconnect(worker)
  else worker.stopMilliseconds = 1_000
  racks.loseOwner()
  await fleet.clock.advance(20_000)
  expect(fleet.starts(TASK).length).toBeGreaterThan(0)
  expect(fleet.violations()).toEqual([])
})

// Guards against a newer incarnation that is taken for a proof that an inherited run has ended, although its start may have been accepted there.
test.each([[true, 40], [false, 40]])('a run that began on the next incarnation of its worker (lasting: %s) is not started again beside itself although its owner is lost %i ms after that', async (isLasting, milliseconds) => {
  const racks = await RackFleet.create(['r1', 'r2', 'r3', 'r4'])
  const { fleet } = racks
  fleet.emulator.faults.renewalLatencyMilliseconds = 200
  const found = restartBeforeNextStart(fleet)
  const owner = fleet.owner()
  const submission = racks.submit('aaaa', 'r1', { isLasting })
  for (let elapsed = 0; fleet.starts(TASK).length === 0 && elapsed < 3_000; elapsed++) await fleet.clock.advance(1)
  await fleet.clock.advance(milliseconds)
  fleet.kill(owner)
  await submission
  await fleet.clock.advance(1_000)
  if (found.restarted) fleet.emulator.outages.disconnect(found.restarted)
  await fleet.clock.advance(20_000)
  expect(fleet.starts(TASK).length).toBeGreaterThan(0)
  expect(fleet.violations()).toEqual([])
})
