/**
 * Tests of how much the owner of the journal calls the store and the workers.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Calls of one owner while it runs a burst of small jobs. */
interface BurstCalls {
  /** Calls to workers per run. */
  readonly workerCallsPerRun: number
  /** Reads of the owner's own decisions. */
  readonly decisionReads: number
  /** Milliseconds from the submission of the last job to its last start. */
  readonly lastWait: number
}

/** Runs 40 jobs of 6 tasks in two seconds on four workers, at the given utilization of the owner's processor. */
async function runBurst (utilization: number): Promise<BurstCalls> {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'])
  const owner = fleet.owner()
  const node = fleet.nodes.get(owner)
  if (node) node.load.utilization = utilization
  const { emulator } = fleet
  const callsBefore = emulator.workerCalls
  const readsBefore = emulator.storeReads.get(`${owner} keyed.decisions`) ?? 0
  let lastSubmittedAt = 0
  for (let job = 0; job < 40; job++) {
    const id = `aa${job.toString(16).padStart(2, '0')}`
    for (let index = 0; index < 6; index++) fleet.outcomesByTask.set(`${id}.0.0.${index}`, { milliseconds: 300 + 37 * index, result: 'done' })
    lastSubmittedAt = fleet.clock.now()
    fleet.submit(fleet.nonOwner(), id, [{ count: 6 }]).catch(() => {})
    await fleet.clock.advance(50)
  }
  await fleet.clock.advance(3_000)
  const runs = emulator.workerIncarnations.reduce((sum, { starts }) => sum + starts.length, 0)
  expect(runs).toBe(240)
  expect(fleet.violations()).toEqual([])
  return {
    workerCallsPerRun: (emulator.workerCalls - callsBefore) / runs,
    decisionReads: (emulator.storeReads.get(`${owner} keyed.decisions`) ?? 0) - readsBefore,
    lastWait: Math.max(...Array.from({ length: 6 }, (_, index) => fleet.starts(`aa27.0.0.${index}`)[0]?.at ?? Infinity)) - lastSubmittedAt
  }
}

test('an owner does not read back the decisions that it writes', async () => {
  const { decisionReads } = await runBurst(0)
  expect(decisionReads).toBeLessThanOrEqual(2)
})

test('an owner without processor time to spare collects more completions with each call, and still starts jobs soon', async () => {
  const atEase = await runBurst(0)
  const overloaded = await runBurst(1)
  // One call starts a run; the rest collects completions.
  expect(overloaded.workerCallsPerRun - 1).toBeLessThan((atEase.workerCallsPerRun - 1) * 0.5)
  // Completions are learned of up to 240 ms later, so that workers are free so much later.
  expect(overloaded.lastWait).toBeLessThan(atEase.lastWait + 500)
})

test('workers without tasks are called at most every two seconds, and one that stops responding gets no task once its report is overdue', async () => {
  const fleet = await EmulatedFleet.create(5, ['one'])
  await fleet.clock.advance(4_000)
  const callsBefore = fleet.emulator.workerCalls
  await fleet.clock.advance(20_000)
  expect(fleet.emulator.workerCalls - callsBefore).toBeLessThanOrEqual(5 * 11)
  const [silent] = fleet.emulator.workerIncarnations
  if (silent) silent.isDisconnected = true
  await fleet.clock.advance(2_700)
  await fleet.submit('one', 'aaaa', [{ count: 10 }])
  await fleet.clock.advance(3_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(silent?.starts).toEqual([])
})

test('an owner without processor time to spare does not give up a response that is late because of that', async () => {
  const fleet = await EmulatedFleet.create(3, ['one'])
  const node = fleet.nodes.get('one')
  if (node) node.load.utilization = 1
  fleet.emulator.faults.startLatencyMilliseconds = 1_500
  await fleet.submit('one', 'aaaa', [{ count: 6 }])
  await fleet.clock.advance(8_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(node?.log.fieldsOf('start unsettled')).toEqual([])
  for (let index = 0; index < 6; index++) expect(fleet.starts(`aaaa.0.0.${index}`)).toHaveLength(1)
})
