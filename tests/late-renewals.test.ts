/**
 * Tests of lease renewals that get no response and are carried out seconds later, by the next incarnation of the worker.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

const EARLIER = 'aaaa.0.0.0'
const TASK = 'bbbb.0.0.0'

/** Longest leases of the deployments, in milliseconds. */
const LONGEST_LEASES = [6_000, 10_000] as const

/** Time that a worker with tasks may wait before it responds, and a little more, in milliseconds. */
const RENEWAL_MILLISECONDS = 2_300

/** Delay of a renewal that is carried out once the next incarnation has a run, 5.6 s after its start, in milliseconds. */
const LATE_MILLISECONDS = 8_000

/** Time that a worker is without power, in milliseconds. */
const DARK_MILLISECONDS = 400

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
  await fleet.clock.advance(20_000)
  return { fleet, former }
}

/** Delays the renewals at a worker for a time, lets it lose power, and returns its next incarnation. */
async function restartWithLateRenewal (fleet: EmulatedFleet, former: EmulatedWorker, lateMilliseconds: number, milliseconds: number): Promise<EmulatedWorker> {
  const { emulator, emulator: { faults } } = fleet
  Object.assign(faults, { lateRenewalMilliseconds: lateMilliseconds, lateStartsReachSuccessors: true })
  faults.lateRenewalAddresses.add(former.address)
  await fleet.clock.advance(milliseconds)
  emulator.outages.cutPower(former)
  await fleet.clock.advance(DARK_MILLISECONDS)
  faults.lateRenewalAddresses.clear()
  return emulator.restart(former)
}

// Guards against an owner that counts the lease which it asked for although a renewal for the former incarnation has given the worker its longest one.
test.each(LONGEST_LEASES.flatMap(longest => ['stays', 'is lost'].flatMap(owner => [5_700, 6_000, 6_500, 7_000, 8_000].map(cutAfter => [longest, cutAfter, owner] as const))))(
  'a run on a restarted worker that carries a renewal out late and is cut off does not run twice at once (longest lease %i ms, cut off %i ms after the restart, its owner %s)', async (longest, cutAfter, owner) => {
    const { fleet, former } = await createFleet(longest)
    const worker = await restartWithLateRenewal(fleet, former, LATE_MILLISECONDS, RENEWAL_MILLISECONDS)
    fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
    await fleet.clock.advance(2_000)
    await fleet.submit('two', 'bbbb', [{ isLasting: true, preferredRack: 'r1' }])
    await fleet.clock.advance(cutAfter - 2_000)
    expect(worker.running).toEqual([TASK])
    if (owner === 'is lost') fleet.kill(fleet.owner())
    fleet.emulator.outages.disconnect(worker)
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })

// Guards against a run that is started again after its end, which no owner has read, was acknowledged by a renewal for the former incarnation.
test.each(LONGEST_LEASES.flatMap(longest => [3_000, 3_500, 4_000, 5_000].map(late => ({ longest, late }))))(
  'a run that is done as its owner is lost does not start again when a renewal for the former incarnation of its worker is carried out late (longest lease $longest ms, $late ms late)', async ({ longest, late }) => {
    const { fleet, former } = await createFleet(longest)
    fleet.outcomesByTask.set(EARLIER, { milliseconds: 1_000, result: 'done' })
    fleet.outcomesByTask.set(TASK, { milliseconds: 1_000, result: 'done' })
    await fleet.submit('two', 'aaaa', [{ preferredRack: 'r1' }])
    while (former.completions.length === 0) await fleet.clock.advance(5)
    expect(former.completions).toMatchObject([{ task: EARLIER }])
    await fleet.clock.advance(5)
    const worker = await restartWithLateRenewal(fleet, former, late, 700)
    await fleet.clock.advance(500)
    await fleet.submit('two', 'bbbb', [{ preferredRack: 'r1' }])
    await fleet.clock.advance(200)
    expect(worker.running).toEqual([TASK])
    fleet.kill(fleet.owner())
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.violations()).toEqual([])
  })

// Guards against the same for a run that the next incarnation accepted by itself, and whose owner has got no response since.
test.each(LONGEST_LEASES.flatMap(longest => ['stays', 'is lost'].flatMap(owner => [2_000, 3_000, 5_000].map(late => [longest, late, owner] as const))))(
  'a run that the next incarnation of its worker has accepted does not run twice at once when a renewal is carried out late before the first report (longest lease %i ms, %i ms late, its owner %s)', async (longest, late, owner) => {
    const { fleet, former } = await createFleet(longest)
    const { emulator, emulator: { faults } } = fleet
    Object.assign(faults.lateConnections, { repeatMilliseconds: 50, timeoutMilliseconds: Infinity, opensConnection: () => true, losesResponse: () => false })
    Object.assign(faults, { lateRenewalMilliseconds: late, lateStartsReachSuccessors: true })
    fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
    faults.lateRenewalAddresses.add(former.address)
    await fleet.clock.advance(RENEWAL_MILLISECONDS)
    emulator.outages.cutPower(former)
    fleet.send('two', 'bbbb', [{ isLasting: true, preferredRack: 'r1' }]).catch(() => {})
    await fleet.clock.advance(DARK_MILLISECONDS)
    const worker = emulator.restart(former)
    while (faults.renewalsOnSuccessors === 0 && fleet.clock.now() < worker.startedAt + late) await fleet.clock.advance(10)
    if (owner === 'is lost') fleet.kill(fleet.owner())
    emulator.outages.disconnect(worker)
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.starts(TASK).length).toBeGreaterThan(0)
    expect(fleet.violations()).toEqual([])
  })

// Guards against the same for a run that the next incarnation accepted by itself.
test.each(LONGEST_LEASES.flatMap(longest => ['stays', 'is lost'].flatMap(owner => [2_000, 3_000, 5_000].map(late => [longest, late, owner] as const))))(
  'a run that the next incarnation of its worker has accepted and done does not start again when a renewal is carried out late before the first report (longest lease %i ms, %i ms late, its owner %s)', async (longest, late, owner) => {
    const { fleet, former } = await createFleet(longest)
    const { emulator, emulator: { faults } } = fleet
    Object.assign(faults.lateConnections, { repeatMilliseconds: 50, timeoutMilliseconds: Infinity, opensConnection: () => true, losesResponse: () => false })
    Object.assign(faults, { lateRenewalMilliseconds: late, lateStartsReachSuccessors: true })
    for (const [task, milliseconds] of [[EARLIER, 1_000], [TASK, 300]] as const) fleet.outcomesByTask.set(task, { milliseconds, result: 'done' })
    await fleet.submit('two', 'aaaa', [{ preferredRack: 'r1' }])
    while (former.completions.length === 0) await fleet.clock.advance(5)
    await fleet.clock.advance(5)
    faults.lateRenewalAddresses.add(former.address)
    await fleet.clock.advance(400)
    emulator.outages.cutPower(former)
    fleet.send('two', 'bbbb', [{ preferredRack: 'r1' }]).catch(() => {})
    await fleet.clock.advance(DARK_MILLISECONDS)
    const worker = emulator.restart(former)
    if (owner === 'is lost') {
      await fleet.clock.advance(50)
      fleet.kill(fleet.owner())
    }
    while (faults.renewalsOnSuccessors === 0 && fleet.clock.now() < worker.startedAt + late) await fleet.clock.advance(10)
    faults.lateRenewalAddresses.clear()
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(worker.completions[0]).toMatchObject({ task: TASK, run: 1, result: 'done' })
    expect(fleet.violations()).toEqual([])
  })
