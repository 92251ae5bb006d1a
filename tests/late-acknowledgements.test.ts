/**
 * Tests of starts and acknowledgements for the former incarnation of a worker that the present one carries out before its owner has called it.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

const EARLIER = 'aaaa.0.0.0'
const TASK = 'bbbb.0.0.0'

/** Time after which nothing of what is tested can happen any more, in milliseconds. */
const SETTLING_MILLISECONDS = 30_000

// Guards against a run that is taken for one that never began because its end was acknowledged by a renewal for the former incarnation.
test.each(['stays', 'is lost'].flatMap(owner => [1_000, 1_400, 1_800, 2_200, 2_600].map(late => ({ owner, late }))))(
  'a run whose start and acknowledgement the next incarnation carries out does not start again (owner $owner, acknowledgement $late ms late)', async ({ owner, late }) => {
    const fleet = new EmulatedFleet(1, 10_000)
    const former = fleet.emulator.addVirtualMachine('work', 'a', 'r1')
    for (const rack of ['r2', 'r3', 'r4']) fleet.emulator.addVirtualMachine('work', 'a', rack)
    if (!former) throw new Error('no worker')
    fleet.configure({ hasStandby: false })
    for (const name of ['one', 'two', 'three']) fleet.start(name)
    await fleet.clock.advance(20_000)
    fleet.outcomesByTask.set(EARLIER, { milliseconds: 1_000, result: 'done' })
    fleet.outcomesByTask.set(TASK, { milliseconds: 100, result: 'done' })
    await fleet.submit('two', 'aaaa', [{ preferredRack: 'r1' }])
    while (former.completions.length === 0) await fleet.clock.advance(5)
    await fleet.clock.advance(5)
    const { faults } = fleet.emulator
    Object.assign(faults, { lateRenewalMilliseconds: late, lateStartMilliseconds: 500, lateStartsReachSuccessors: true })
    faults.lateRenewalAddresses.add(former.address)
    faults.lateStartAddresses.add(former.address)
    await fleet.clock.advance(100)
    await fleet.submit('two', 'bbbb', [{ preferredRack: 'r1' }])
    await fleet.clock.advance(60)
    if (owner === 'is lost') fleet.kill(fleet.owner())
    fleet.emulator.outages.cutPower(former)
    await fleet.clock.advance(100)
    faults.lateRenewalAddresses.clear()
    faults.lateStartAddresses.clear()
    fleet.emulator.restart(former)
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })
