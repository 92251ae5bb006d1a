/**
 * Tests of the records of the longest leases of workers that restart twice.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

const TASK = 'bbbb.0.0.0'

/** Least rate of a worker's clock. */
const SLOWEST_RATE = 0.98

/** Time after which nothing of what is tested can happen any more, in milliseconds. */
const SETTLING_MILLISECONDS = 25_000

// Guards against the removal of a record that has expired taking the one of the next incarnation with it.
test.each([0, 200, 400, 600, 800, 1_000, 1_200].flatMap(earlier => [1_200, 1_600, 2_000, 2_400].map(lostAfter => ({ earlier, lostAfter }))))(
  'a run on a worker that restarted twice does not run twice at once when it is cut off as its owner is lost (restarted $earlier ms before the record of the first restart expires, owner lost $lostAfter ms later)', async ({ earlier, lostAfter }) => {
    const fleet = new EmulatedFleet(1, 10_000)
    const former = fleet.emulator.addVirtualMachine('work', 'a', 'r1')
    for (const rack of ['r2', 'r3', 'r4']) fleet.emulator.addVirtualMachine('work', 'a', rack)
    if (!former) throw new Error('no worker')
    fleet.configure({ hasStandby: false })
    for (const name of ['one', 'two', 'three']) fleet.start(name)
    await fleet.clock.advance(20_000)
    fleet.emulator.outages.cutPower(former)
    await fleet.clock.advance(400)
    const second = fleet.emulator.restart(former)
    await fleet.clock.advance(1_000)
    fleet.outcomesByTask.set('cccc.0.0.0', { milliseconds: 3_000, result: 'done' })
    await fleet.submit('two', 'cccc', [{ preferredRack: 'r1' }])
    const log = fleet.nodes.get(fleet.owner())?.log
    const firstExpiry = Number(log?.fieldsOf('longest lease recorded').at(-1)?.['expiresAt'])
    expect(firstExpiry).toBeGreaterThan(0)
    await fleet.clock.advance(firstExpiry - earlier - 400 - fleet.clock.now())
    fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
    fleet.emulator.outages.cutPower(second)
    await fleet.clock.advance(400)
    fleet.emulator.faults.appendDelays.set('keyed.decisions', 600)
    const worker = fleet.emulator.restart(second)
    worker.clockRate = SLOWEST_RATE
    // A renewal for the former incarnation, whose clock shows more.
    const renewal = { deadline_ms: second.clockMilliseconds + 5_400 }
    await worker.handle('hold', renewal as never)
    fleet.send('two', 'bbbb', [{ isLasting: true, preferredRack: 'r1' }]).catch(() => {})
    await fleet.clock.advance(lostAfter)
    fleet.kill(fleet.owner())
    fleet.emulator.faults.appendDelays.clear()
    fleet.emulator.outages.disconnect(worker)
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })
