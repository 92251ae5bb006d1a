/**
 * Tests of the check of the runs that emulated workers recorded: a check that allows too much hides forbidden runs in all other tests.
 */
import { expect, test } from 'vitest'
import type { StepDefinition } from '../src/jobs/step-definition.js'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { runViolations } from '../stand-ins/emulator/run-violations.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

const TASK = 'aaaa.0.0.0'

/** Returns a worker with one run of the task. */
const workerWith = (id: string, run: number, startedAt: number, completedAt: number, acknowledgedAt: number): EmulatedWorker => ({
  id,
  starts: [{ task: TASK, run, startedAt }],
  completions: [{ task: TASK, run, result: 'done', completedAt, acknowledgedAt }],
  completeDueRuns: () => {}
}) as unknown as EmulatedWorker

test.each([
  ['while the earlier one is active', 500, []],
  ['after the completion was acknowledged', 2_500, [`${TASK}: run 2 started after run 1 was done and its completion was acknowledged`]]
])('a second run of a task that allows copies %s is judged by the state of the earlier one', (_, startedAt, findings) => {
  const workers = [workerWith('i-1', 1, 0, 1_000, 2_000), workerWith('i-2', 2, startedAt, 4_000, 4_500)]
  expect(runViolations(workers, () => true)).toEqual(findings)
})

test.each([
  ['before the acknowledgement', 1_500, []],
  ['after it', 2_200, [`${TASK}: run 2 started after run 1 was done and its completion was acknowledged`]]
])('a run after a completion whose worker lost its lease %s is judged by that', (_, lapsedAt, findings) => {
  const worker = workerWith('i-1', 1, 0, 1_000, 2_000)
  worker.completions.push({ task: 'bbbb.0.0.0', run: 1, result: 'lapsed', completedAt: lapsedAt, acknowledgedAt: Infinity })
  expect(runViolations([worker, workerWith('i-2', 2, 2_500, 4_000, 4_500)])).toEqual(findings)
})

// Guards against fleets that take two runs of any speculative step for a task and its copy.
test.each<[string, Partial<StepDefinition>, { startAt?: number }, number]>([
  ['a speculative task', {}, {}, 0],
  ['a gang', { isGang: true }, {}, 1],
  ['a filler', { isFiller: true }, {}, 1],
  ['a timed occurrence in its first start', {}, { startAt: 1_700_000_005_000 }, 1]
])('two runs of %s at once are violations unless it may have a copy', async (_, step, options, findings) => {
  const fleet = await EmulatedFleet.create(0, ['one'], 1, false)
  await fleet.submit('one', 'aaaa', [{ isSpeculative: true, ...step }], options)
  for (const worker of [workerWith('i-1', 1, 0, 1_000, 2_000), workerWith('i-2', 2, 500, 4_000, 4_500)]) fleet.emulator.workerIncarnations.push(worker)
  expect(fleet.violations().filter(finding => finding.includes('was active'))).toHaveLength(findings)
})
