/**
 * Tests of ends of workers that the platform shows, and of what follows when such a worker starts again under its ID.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

const TASK = 'aaaa.0.0.0'

type Request = Parameters<EmulatedFleet['emulator']['handle']>[0]

/** Keeps the first start from its worker, and returns it in a list once it has been sent. */
function holdBackFirstStart (fleet: EmulatedFleet): Request[] {
  const held: Request[] = []
  const handle = fleet.emulator.handle.bind(fleet.emulator)
  fleet.emulator.handle = async request => {
    if (held.length > 0 || !request.path.endsWith('run-start')) return handle(request)
    held.push({ ...request, caller: 'late', isAborted: () => false })
    return null
  }
  return held
}

// Guards against an inherited run that is given up by the lists although its start may still reach the next incarnation, which has seen no fencing token.
test.each([2_700, 3_500, 4_500])('a start of a lost owner that is carried out %i ms late by a worker that has lost power and started again under its ID begins no second run', async late => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two', 'three'], 1, false)
  fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
  const held = holdBackFirstStart(fleet)
  const owner = fleet.owner()
  fleet.submit(fleet.nonOwner(), 'aaaa', [{ isLasting: true }]).catch(() => {})
  for (let elapsed = 0; held.length === 0 && elapsed < 5_000; elapsed += 10) await fleet.clock.advance(10)
  const [start] = held
  const worker = fleet.emulator.workerIncarnations.find(({ address }) => address === start?.address)
  if (!start || !worker) throw new Error('nothing was started')
  fleet.kill(owner)
  await fleet.clock.advance(50)
  fleet.emulator.outages.cutPower(worker)
  await fleet.clock.advance(late - 50)
  fleet.emulator.faults.registrationMilliseconds = 1_000
  fleet.emulator.restart(worker)
  fleet.emulator.handle(start).catch(() => {})
  await fleet.clock.advance(12_000)
  expect(fleet.starts(TASK).length).toBeGreaterThan(0)
  expect(fleet.violations()).toEqual([])
})

// Guards against losses of power that count as crashes of the worker under its runs.
test('a task whose workers lose power one after the other, and are back under their IDs, is not given up', async () => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two', 'three'], 1, false)
  fleet.outcomesByTask.set(TASK, { milliseconds: 30_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  for (let outage = 0; outage < 6; outage++) {
    await fleet.clock.advance(2_000)
    const worker = fleet.emulator.workerIncarnations.find(({ isTerminated, running }) => !isTerminated && running.includes(TASK))
    if (!worker) continue
    fleet.emulator.outages.cutPower(worker)
    await fleet.clock.advance(8_000)
    fleet.emulator.restart(worker)
  }
  await fleet.clock.advance(60_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})
