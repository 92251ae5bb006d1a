/**
 * Tests of starts without a response that reach the next incarnation under their worker's ID before any owner has called it.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { delayNextStart } from './support/delay-next-start.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

const TASK = 'aaaa.0.0.0'

/** Time from the start to the loss of power, and that a stop takes, in milliseconds. */
const POWER_LOSS_MILLISECONDS = 100
const STOP_MILLISECONDS = 500

/** Longest lateness of a call, in milliseconds. */
const MAXIMUM_LATENESS_MILLISECONDS = 12_000

/** Time for two lists of VMs and a placement, in milliseconds. */
const RESTART_MILLISECONDS = 2_000

/** Time after which nothing of what is tested can happen any more, in milliseconds. */
const SETTLING_MILLISECONDS = 30_000

/** A fleet that has sent a start which its first worker carries out late. */
async function sendLateStart (lateness: number, workers = 2): Promise<{ fleet: EmulatedFleet, worker: EmulatedWorker, sentAt: number }> {
  const fleet = new EmulatedFleet(1)
  const worker = fleet.emulator.addVirtualMachine('work', 'a', 'r1')
  for (let count = 1; count < workers; count++) fleet.emulator.addVirtualMachine('work', 'a', 'r2')
  if (!worker) throw new Error('no worker')
  fleet.configure({ hasStandby: false })
  for (const name of ['one', 'two', 'three']) fleet.start(name)
  await fleet.clock.advance(2_000)
  const sent = delayNextStart(fleet, lateness)
  fleet.outcomesByTask.set(TASK, { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true, preferredRack: 'r1' }])
  await fleet.clock.advance(Math.max(0, sent.sentAt + POWER_LOSS_MILLISECONDS - fleet.clock.now()))
  return { fleet, worker, sentAt: sent.sentAt }
}

async function advanceTo ({ clock }: EmulatedFleet, time: number): Promise<void> {
  await clock.advance(Math.max(0, time - clock.now()))
}

// Guards against a lease or a list of VMs that is taken for the end of a start which the next incarnation carries out before it is called.
test.each([2_500, 4_900, 5_500, 8_000, 11_900].flatMap(lateness => [1, 20, 300].flatMap(lead => [false, true].map(isOwnerLost => ({ lateness, lead, isOwnerLost })))))(
  'a start that is carried out $lateness ms late, $lead ms after its worker is back under its ID, runs no task twice at once (owner lost: $isOwnerLost)', async ({ lateness, lead, isOwnerLost }) => {
    const { fleet, worker, sentAt } = await sendLateStart(lateness)
    fleet.emulator.outages.cutPower(worker)
    await fleet.clock.advance(100)
    if (isOwnerLost) fleet.kill(fleet.owner())
    await advanceTo(fleet, sentAt + lateness - lead)
    fleet.emulator.restart(worker).stopMilliseconds = STOP_MILLISECONDS
    await fleet.clock.advance(SETTLING_MILLISECONDS)
    expect(fleet.starts(TASK).length).toBeGreaterThan(0)
    expect(fleet.violations()).toEqual([])
  })

// Guards against a report that is taken to end a start for the next incarnation as well.
test.each([[1_500, 5_000, false], [1_500, 5_000, true], [2_000, 11_900, false], [2_000, 11_900, true], [4_000, 8_000, true]])('a task whose worker has reported without its run, loses power after %i ms and carries the start out %i ms late does not run twice at once (owner lost: %s)', async (darkAfter, lateness, isOwnerLost) => {
  const { fleet, worker, sentAt } = await sendLateStart(lateness)
  await advanceTo(fleet, sentAt + darkAfter)
  expect(fleet.starts(TASK).length).toBe(1)
  fleet.emulator.outages.cutPower(worker)
  if (isOwnerLost) fleet.kill(fleet.owner())
  await advanceTo(fleet, sentAt + lateness - 1)
  fleet.emulator.restart(worker).stopMilliseconds = STOP_MILLISECONDS
  await fleet.clock.advance(SETTLING_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})

// Guards against a task that waits for the lateness of its start although no incarnation under the ID can follow, or that waits while its worker answers.
test.each(['answers', 'is replaced'])('a task whose start got no response runs again soon once its worker %s', async end => {
  const { fleet, worker, sentAt } = await sendLateStart(MAXIMUM_LATENESS_MILLISECONDS, 3)
  if (end === 'is replaced') fleet.emulator.replace(worker, fleet.clock.now() + 400).catch(() => {})
  await advanceTo(fleet, sentAt + 400 + POWER_LOSS_MILLISECONDS + RESTART_MILLISECONDS)
  expect(fleet.starts(TASK).map(({ run }) => run)).toEqual([2])
  await fleet.clock.advance(SETTLING_MILLISECONDS)
  expect(fleet.starts(TASK).length).toBe(1)
  expect(fleet.violations()).toEqual([])
})

// Guards against a task that never runs again because its worker stays away.
test.each([false, true])('a task whose start got no response runs elsewhere once the start is too old to be carried out (owner lost: %s)', async isOwnerLost => {
  const { fleet, worker, sentAt } = await sendLateStart(MAXIMUM_LATENESS_MILLISECONDS)
  fleet.emulator.outages.cutPower(worker)
  if (isOwnerLost) fleet.kill(fleet.owner())
  const claimMilliseconds = isOwnerLost ? 3_000 : 1_000
  await advanceTo(fleet, sentAt + MAXIMUM_LATENESS_MILLISECONDS + claimMilliseconds + RESTART_MILLISECONDS)
  expect(fleet.starts(TASK).map(({ worker: id }) => id)).not.toContain(worker.id)
  expect(fleet.starts(TASK).length).toBe(1)
})
