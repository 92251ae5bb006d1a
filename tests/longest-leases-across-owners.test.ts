/**
 * Tests of leases that an owner knows to last longer than those that it asks for, and of what the owners after it assume.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

const LASTING = 'bbbb.0.0.0'

/** Longest leases of the deployments, in milliseconds. */
const LONGEST_LEASES = [6_000, 10_000] as const

/** Time that a worker is without power, in milliseconds. */
const DARK_MILLISECONDS = 400

/** Time after which nothing of what is tested can happen any more, in milliseconds. */
const SETTLING_MILLISECONDS = 25_000

/** A fleet in which a start for the former incarnation of its first worker has been carried out by the present one, which has granted its longest lease. */
async function restartWithStart (maximumLeaseMilliseconds: number): Promise<{ fleet: EmulatedFleet, worker: EmulatedWorker }> {
  const fleet = new EmulatedFleet(1, maximumLeaseMilliseconds)
  const former = fleet.emulator.addVirtualMachine('work', 'a', 'r1')
  for (const rack of ['r2', 'r3', 'r4']) fleet.emulator.addVirtualMachine('work', 'a', rack)
  if (!former) throw new Error('no worker')
  fleet.configure({ hasStandby: false })
  for (const name of ['one', 'two', 'three']) fleet.start(name)
  await fleet.clock.advance(20_000)
  Object.assign(fleet.emulator.faults.lateConnections, { repeatMilliseconds: 50, timeoutMilliseconds: Infinity, opensConnection: () => true, losesResponse: () => false })
  fleet.outcomesByTask.set(LASTING, { milliseconds: Infinity, result: 'done' })
  fleet.emulator.outages.cutPower(former)
  fleet.send('one', 'aaaa', [{ preferredRack: 'r1' }]).catch(() => {})
  await fleet.clock.advance(DARK_MILLISECONDS)
  return { fleet, worker: fleet.emulator.restart(former) }
}

// Guards against an owner that counts the lease which owners ask for although its predecessor knew of a longer one.
test.each(LONGEST_LEASES.flatMap(longest => [0, 200, 1_000, 2_000, 2_500, 3_000, 4_000].flatMap(submittedAfter => [0, 300, 1_000].map(lostAfter => ({ longest, submittedAfter, lostAfter })))))(
  'a run on a restarted worker that is cut off as its owner is lost does not run twice at once (longest lease $longest ms, submitted $submittedAfter ms after the restart, owner lost $lostAfter ms later)', async ({ longest, submittedAfter, lostAfter }) => {
    const { fleet, worker } = await restartWithStart(longest)
    await fleet.clock.advance(submittedAfter)
    await fleet.submit('two', 'bbbb', [{ isLasting: true, preferredRack: 'r1' }])
    await fleet.clock.advance(lostAfter)
    fleet.kill(fleet.owner())
    fleet.emulator.outages.disconnect(worker)
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.starts(LASTING).length).toBeGreaterThan(0)
    expect(fleet.violations()).toEqual([])
  })
