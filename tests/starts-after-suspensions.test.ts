/**
 * Tests of starts that an owner sends after a suspension.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

const TASK = 'bbbb.0.0.0'

/** Time after which nothing of what is tested can happen any more, in milliseconds. */
const SETTLING_MILLISECONDS = 40_000

// Guards against a start that an owner sends after its suspension, long after another one has taken over, to the next incarnation of the worker.
test.each([100, 150].flatMap(suspendedAfter => [8_000, 13_000, 15_000, 18_000, 21_000].map(resumedAfter => ({ suspendedAfter, resumedAfter }))))(
  'a run whose owner is suspended before it sends the start does not run twice at once (suspended after $suspendedAfter ms, for $resumedAfter ms)', async ({ suspendedAfter, resumedAfter }) => {
    const fleet = new EmulatedFleet(1, 10_000)
    const former = fleet.emulator.addVirtualMachine('work', 'a', 'r1')
    for (const rack of ['r2', 'r3', 'r4']) fleet.emulator.addVirtualMachine('work', 'a', rack)
    if (!former) throw new Error('no worker')
    fleet.configure({ hasStandby: false })
    for (const name of ['one', 'two', 'three']) fleet.start(name)
    await fleet.clock.advance(60_000)
    fleet.outcomesByTask.set(TASK, { milliseconds: 60_000, result: 'done' })
    fleet.emulator.faults.appendResponseMilliseconds = 200
    const owner = fleet.owner()
    fleet.send(fleet.nonOwner(), 'bbbb', [{ preferredRack: 'r1' }]).catch(() => {})
    await fleet.clock.advance(suspendedAfter)
    fleet.nodes.get(owner)?.clock.suspend()
    fleet.emulator.faults.appendResponseMilliseconds = 0
    await fleet.clock.advance(100)
    fleet.emulator.outages.cutPower(former)
    await fleet.clock.advance(400)
    const worker = fleet.emulator.restart(former)
    fleet.emulator.faults.allowedCallers.set(worker.address, new Set([owner]))
    await fleet.clock.advance(resumedAfter)
    fleet.nodes.get(owner)?.clock.resume()
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })
