/**
 * Tests of late renewals for an incarnation that the owner of the next one has forgotten, or has never known.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

const EARLIER = 'aaaa.0.0.0'
const TASK = 'bbbb.0.0.0'

/** Longest leases of the deployments, in milliseconds. */
const LONGEST_LEASES = [6_000, 10_000] as const

/** Longest delay of a call, in milliseconds. */
const LATE_MILLISECONDS = 12_000

/** Time without power after which the entry of a worker has expired and its owner has forgotten it, in milliseconds. */
const UNLISTED_MILLISECONDS = 5_500

/** Time after which processes start that don't take a worker for young any more, in milliseconds. */
const NO_OWNER_MILLISECONDS = 14_900

/** Least rate of a worker's clock. */
const SLOWEST_RATE = 0.98

/** Time after which nothing of what is tested can happen any more, in milliseconds. */
const SETTLING_MILLISECONDS = 30_000

/** A fleet whose first worker is alone in its rack. */
async function createFleet (maximumLeaseMilliseconds: number): Promise<{ fleet: EmulatedFleet, former: EmulatedWorker }> {
  const fleet = new EmulatedFleet(1, maximumLeaseMilliseconds)
  const former = fleet.emulator.addVirtualMachine('work', 'a', 'r1')
  for (const rack of ['r2', 'r3', 'r4']) fleet.emulator.addVirtualMachine('work', 'a', rack)
  if (!former) throw new Error('no worker')
  fleet.configure({ hasStandby: false })
  for (const name of ['one', 'two', 'three']) fleet.start(name)
  await fleet.clock.advance(40_000)
  return { fleet, former }
}

/** Delays the renewals at a worker from now on, and lets it lose power. */
async function losePower (fleet: EmulatedFleet, former: EmulatedWorker, milliseconds: number): Promise<void> {
  const { emulator, emulator: { faults } } = fleet
  Object.assign(faults, { lateRenewalMilliseconds: LATE_MILLISECONDS, lateStartsReachSuccessors: true })
  faults.lateRenewalAddresses.add(former.address)
  await fleet.clock.advance(milliseconds)
  emulator.outages.cutPower(former)
  faults.lateRenewalAddresses.clear()
}

// Guards against an owner that doesn't count orders to an incarnation which it has called and then forgotten with the worker's entry.
test.each(LONGEST_LEASES.flatMap(longest => [3_000, 4_000, 5_000, 6_000, 7_000].map(cutAfter => ({ longest, cutAfter }))))(
  'a run on a worker that was unlisted, is back under its ID, carries a renewal out late and is cut off does not run twice at once (longest lease $longest ms, cut off $cutAfter ms after the restart)', async ({ longest, cutAfter }) => {
    const { fleet, former } = await createFleet(longest)
    await losePower(fleet, former, 2_300)
    await fleet.clock.advance(UNLISTED_MILLISECONDS)
    fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
    const worker = fleet.emulator.restart(former)
    await fleet.clock.advance(1_000)
    await fleet.submit('two', 'bbbb', [{ isLasting: true, preferredRack: 'r1' }])
    await fleet.clock.advance(cutAfter - 1_000)
    expect(worker.running).toEqual([TASK])
    fleet.emulator.outages.disconnect(worker)
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })

// Guards against a run that starts again after its end was acknowledged by a renewal for an incarnation that the owner has forgotten.
test.each(LONGEST_LEASES.flatMap(longest => [4_300, 4_800, 5_300, 5_800, 6_000, 6_200, 6_400].map(submittedAfter => ({ longest, submittedAfter }))))(
  'a run that is done as its owner is lost does not start again when its worker was unlisted and carries a renewal out late (longest lease $longest ms, submitted $submittedAfter ms after the restart)', async ({ longest, submittedAfter }) => {
    const { fleet, former } = await createFleet(longest)
    fleet.outcomesByTask.set(EARLIER, { milliseconds: 1_000, result: 'done' })
    fleet.outcomesByTask.set(TASK, { milliseconds: 300, result: 'done' })
    await fleet.submit('two', 'aaaa', [{ preferredRack: 'r1' }])
    while (former.completions.length === 0) await fleet.clock.advance(5)
    await fleet.clock.advance(5)
    await losePower(fleet, former, 400)
    await fleet.clock.advance(UNLISTED_MILLISECONDS)
    const worker = fleet.emulator.restart(former)
    await fleet.clock.advance(submittedAfter)
    await fleet.submit('two', 'bbbb', [{ preferredRack: 'r1' }])
    await fleet.clock.advance(200)
    expect(worker.running).toEqual([TASK])
    fleet.kill(fleet.owner())
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })

// Guards against an owner that takes an incarnation for too old to hold its longest lease, although an order of the longest delay has set one.
test.each(LONGEST_LEASES.flatMap(longest => [0, 200, 400, 600, 800, 1_000, 1_200, 1_400, 1_600, 1_800].map(lateFor => ({ longest, lateFor }))))(
  'a run on a worker that restarted while there was no owner does not run twice at once when it is cut off (longest lease $longest ms, renewals late for $lateFor ms)', async ({ longest, lateFor }) => {
    const { fleet, former } = await createFleet(longest)
    await fleet.clock.advance(lateFor)
    await losePower(fleet, former, 400)
    for (const name of [...fleet.nodes.keys()]) fleet.kill(name)
    await fleet.clock.advance(100)
    fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
    const worker = fleet.emulator.restart(former)
    worker.clockRate = SLOWEST_RATE
    await fleet.clock.advance(NO_OWNER_MILLISECONDS)
    for (const name of ['four', 'five', 'six']) fleet.start(name)
    while (worker.starts.length === 0 && fleet.clock.now() < worker.startedAt + 30_000) {
      await fleet.clock.advance(20)
      fleet.send('five', 'bbbb', [{ isLasting: true, preferredRack: 'r1' }]).catch(() => {})
    }
    expect(worker.running).toEqual([TASK])
    fleet.emulator.outages.disconnect(worker)
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })

// Guards against an owner that takes an incarnation for too old by a time of day that has jumped.
test.each(LONGEST_LEASES.flatMap(longest => [5_000, 8_000, 9_900].flatMap(noOwnerMilliseconds => [0, 4_000, 5_000].map(clockError => ({ longest, noOwnerMilliseconds, clockError })))))(
  'a run on a worker that restarted while there was no owner does not run twice at once when the time of day is ahead (longest lease $longest ms, processes back $noOwnerMilliseconds ms after the restart, $clockError ms ahead)', async ({ longest, noOwnerMilliseconds, clockError }) => {
    const { fleet, former } = await createFleet(longest)
    Object.assign(fleet.emulator.faults, { lateRenewalMilliseconds: noOwnerMilliseconds - 100, lateStartsReachSuccessors: true })
    fleet.emulator.faults.lateRenewalAddresses.add(former.address)
    await fleet.clock.advance(2_300)
    fleet.emulator.outages.cutPower(former)
    fleet.emulator.faults.lateRenewalAddresses.clear()
    for (const name of [...fleet.nodes.keys()]) fleet.kill(name)
    await fleet.clock.advance(100)
    fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
    const worker = fleet.emulator.restart(former)
    worker.clockRate = SLOWEST_RATE
    await fleet.clock.advance(noOwnerMilliseconds)
    for (const name of ['four', 'five', 'six']) {
      const { clock } = fleet.start(name)
      clock.timeOfDayError = clockError
    }
    while (worker.starts.length === 0 && fleet.clock.now() < worker.startedAt + 30_000) {
      await fleet.clock.advance(20)
      fleet.send('five', 'bbbb', [{ isLasting: true, preferredRack: 'r1' }]).catch(() => {})
    }
    expect(worker.running).toEqual([TASK])
    fleet.emulator.outages.disconnect(worker)
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })
