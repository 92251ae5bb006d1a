/**
 * Tests of starts of tasks that don't last that are still on their way when their owner is lost, and reach the next incarnation under the ID of a worker that has ended.
 */
import { expect, test } from 'vitest'
import { HeldStarts } from './support/inherited-starts/held-starts.js'
import { RackFleet } from './support/inherited-starts/rack-fleet.js'

const RACKS = ['r1', 'r2', 'r3', 'r4']

/** Times after which the starts arrive, counted from the loss of their owner, in milliseconds. */
const LATENESSES = [2_700, 3_500, 4_500]

/** The same for the first of two owners that are lost, within the lease that its start asks for: the third one has its lists later. */
const CHAIN_LATENESSES = [4_500, 5_200]

/** Time after which a worker that has started again is in the registry, so that no owner calls it before the starts arrive. */
const REGISTRATION_MILLISECONDS = 1_000

/** Time between the loss of the owner and the end of the workers, in milliseconds. */
const END_MILLISECONDS = 50

/** Time after which its owner is about to give up a start without a response, and to shut it out, in milliseconds. */
const ANSWERED_MILLISECONDS = 400

/** Time after the last start by which a second run would have begun, in milliseconds. */
const SETTLED_MILLISECONDS = 15_000

/** Cuts the power of the workers to which starts are on their way, starts them again under their IDs, and lets the starts arrive then. Returns the tasks of these. */
async function deliverToNextIncarnations ({ fleet }: RackFleet, held: HeldStarts, lostAt: number, lateness: number): Promise<readonly string[]> {
  const { tasks } = held
  const { clock, emulator } = fleet
  await clock.advance(Math.max(0, lostAt + END_MILLISECONDS - clock.now()))
  for (const worker of held.workers) emulator.outages.cutPower(worker)
  await clock.advance(Math.max(0, lostAt + lateness - clock.now()))
  emulator.faults.registrationMilliseconds = REGISTRATION_MILLISECONDS
  for (const worker of held.workers) emulator.restart(worker)
  held.deliver()
  await clock.advance(SETTLED_MILLISECONDS)
  return tasks
}

/** Expects that the tasks of late starts run, and nothing twice. */
function expectOneRunEach ({ fleet }: RackFleet, tasks: readonly string[]): void {
  expect(tasks).not.toEqual([])
  expect(tasks.filter(task => fleet.starts(task).length === 0)).toEqual([])
  expect(fleet.violations()).toEqual([])
}

// Guards against a run that is given up by the lists although its start may still reach the next incarnation, which has seen no fencing token.
test.each([0, 150, 400].flatMap(lostAfter => LATENESSES.map(lateness => [lostAfter, lateness] as const)))('a start of an owner that is lost %i ms after it sent it, of a task that does not last, begins no second run when the next incarnation of its worker carries it out %i ms later', async (lostAfter, lateness) => {
  const racks = await RackFleet.create(RACKS)
  const held = new HeldStarts(racks.fleet, ({ run }) => run === 1)
  racks.submit('aaaa', 'r1').catch(() => {})
  await held.untilHeld()
  await racks.fleet.clock.advance(lostAfter)
  racks.loseOwner()
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, racks.fleet.clock.now(), lateness))
})

// Guards against an owner that takes what its predecessor's record doesn't tell of for accepted, because it has written records of its own.
test.each([100, 600, 1_500].flatMap(lifetime => CHAIN_LATENESSES.map(lateness => [lifetime, lateness] as const)))('a start of the first of two lost owners, of a task that does not last, begins no second run when the second is lost %i ms after its term began and the next incarnation of its worker carries it out %i ms after the loss of the first', async (lifetime, lateness) => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ run }) => run === 1)
  racks.submit('aaaa', 'r1').catch(() => {})
  await held.untilHeld()
  racks.loseOwner()
  const lostAt = fleet.clock.now()
  for (const worker of held.workers) fleet.emulator.outages.cutPower(worker)
  await racks.nextOwner()
  await fleet.clock.advance(lifetime)
  racks.loseOwner()
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, lostAt, lateness))
})

// Guards against a record that tells of all starts up to the newest one with an outcome.
test.each(LATENESSES)('starts of which every second one was answered, of tasks that do not last, begin no second run when the next incarnations of their workers carry the others out %i ms late', async lateness => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ task, run }) => run === 1 && Number(task.split('.')[3]) % 2 === 1)
  const submissions = ['r1', 'r2', 'r3'].map((rack, index) => racks.submit(`aaa${index}`, rack, { count: 8 }))
  await held.untilHeld(12)
  await fleet.clock.advance(450)
  racks.loseOwner()
  const lostAt = fleet.clock.now()
  await Promise.allSettled(submissions)
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, lostAt, lateness))
})

// Guards against a record that tells of starts which were sent after it was composed, or of which the owner didn't know the offset.
test.each([['takes 300 ms', 300, 0], ['has a response that takes 300 ms', 0, 300], ['takes 900 ms', 900, 0], ['has a response that takes 900 ms', 0, 900]].flatMap(([name, delay, response]) => LATENESSES.map(lateness => [name, lateness, delay, response] as const)))('a start of a task that does not last begins no second run when each append %s and the next incarnation of its worker carries it out %i ms late', async (_name, lateness, delay, response) => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const { faults } = fleet.emulator
  await racks.submit('bbbb', 'r2')
  await fleet.clock.advance(1_000)
  faults.appendDelays.set('keyed.decisions', Number(delay))
  faults.appendResponseMilliseconds = Number(response)
  const held = new HeldStarts(fleet, ({ task, run }) => run === 1 && task.startsWith('aaaa'))
  for (const [index, job] of ['cccc', 'aaaa', 'dddd'].entries()) racks.submit(job, `r${index + 1}`).catch(() => {})
  await held.untilHeld()
  await fleet.clock.advance(Math.min(ANSWERED_MILLISECONDS, Number(delay) + Number(response)) + 100)
  racks.loseOwner()
  const lostAt = fleet.clock.now()
  faults.appendDelays.clear()
  faults.appendResponseMilliseconds = 0
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, lostAt, lateness))
})

// Guards against the refusal of an earlier run that counts as the outcome of the next one.
test.each(LATENESSES)('a start of a task that does not last, after one that was refused, begins no second run when the next incarnation of its worker carries it out %i ms late', async lateness => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const [refusing] = fleet.emulator.workerIncarnations
  if (refusing) refusing.refusesStarts = true
  const held = new HeldStarts(fleet, ({ run }) => run === 2)
  racks.submit('aaaa', 'r1').catch(() => {})
  await held.untilHeld()
  await fleet.clock.advance(300)
  racks.loseOwner()
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, fleet.clock.now(), lateness))
})

// Guards against the outcome of one member that counts for its gang.
test.each(LATENESSES)('a start of one member of a gang begins no second run when the workers of the others have lost power and the next incarnation of its worker carries it out %i ms late', async lateness => {
  const racks = await RackFleet.create([...RACKS, 'r5', 'r6'])
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ task, run }) => run === 1 && task === 'aaaa.0.0.1')
  racks.submit('aaaa', 'r1', { count: 3, isGang: true, maximumPerWorker: 1 }).catch(() => {})
  await held.untilHeld()
  await fleet.clock.advance(ANSWERED_MILLISECONDS)
  for (const task of ['aaaa.0.0.0', 'aaaa.0.0.2']) fleet.emulator.outages.cutPower(racks.workerOf(task))
  racks.loseOwner()
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, fleet.clock.now(), lateness))
})

// Guards against an incarnation that is taken for the outcome of a start which was sent to the one before it.
test.each(LATENESSES)('a start of a task that does not last begins no second run when its worker starts again under its ID before its owner is lost, and the incarnation after that carries it out %i ms late', async lateness => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ run }) => run === 1)
  racks.submit('aaaa', 'r1').catch(() => {})
  await held.untilHeld()
  await fleet.clock.advance(100)
  for (const worker of held.workers) {
    worker.terminate()
    fleet.emulator.restart(worker)
  }
  await fleet.clock.advance(ANSWERED_MILLISECONDS - 100)
  racks.loseOwner()
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, fleet.clock.now(), lateness))
})

// Guards against an append of a lost owner that is taken for one of its successor, or tells of starts that it couldn't know.
test.each([200, 1_000, 2_000].flatMap(delay => LATENESSES.map(lateness => [delay, lateness] as const)))('a start of a task that does not last begins no second run when the store carries out the last append of its lost owner %i ms late and the next incarnation of its worker the start %i ms late', async (delay, lateness) => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ task, run }) => run === 1 && task === 'aaaa.0.0.1')
  racks.submit('aaaa', 'r1', { count: 4 }).catch(() => {})
  await held.untilHeld()
  const owner = fleet.owner()
  fleet.emulator.faults.lateAppends.set(owner, delay)
  await fleet.clock.advance(ANSWERED_MILLISECONDS)
  racks.loseOwner()
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, fleet.clock.now(), lateness))
})

// Guards against the same when the owner goes on without the store while another one claims its term.
test.each(LATENESSES)('a start of a task that does not last begins no second run when the store carries out the appends of its owner late, another one claims the term, and the next incarnation of its worker carries it out %i ms late', async lateness => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ task, run }) => run === 1 && task === 'aaaa.0.0.1')
  racks.submit('aaaa', 'r1', { count: 4 }).catch(() => {})
  await held.untilHeld()
  const owner = fleet.owner()
  fleet.emulator.faults.lateAppends.set(owner, 1_300)
  fleet.emulator.faults.unheardCallers.set(owner, 'workers')
  const tasks = await deliverToNextIncarnations(racks, held, fleet.clock.now(), lateness)
  expect(fleet.owner()).not.toBe(owner)
  expectOneRunEach(racks, tasks)
})

// Guards against a placement whose append is carried out without a response, and is repeated.
test.each(LATENESSES)('a start of a task that does not last begins no second run when the append of its placement got no response at first, and the next incarnation of its worker carries it out %i ms late', async lateness => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ task, run }) => run === 1 && task === 'aaaa.0.0.1')
  fleet.emulator.faults.appendResponseMilliseconds = 10
  const submission = racks.submit('aaaa', 'r1', { count: 4 })
  await submission
  fleet.emulator.faults.lostAppendResponses = 1
  await held.untilHeld()
  await fleet.clock.advance(ANSWERED_MILLISECONDS)
  racks.loseOwner()
  expectOneRunEach(racks, await deliverToNextIncarnations(racks, held, fleet.clock.now(), lateness))
})
