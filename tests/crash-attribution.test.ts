/**
 * Tests of the decisions after crashes: which runs are suspected, which tasks are isolated, and which are given up.
 */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { RunCrash } from '../src/jobs/run-crash.js'
import type { StepDefinition } from '../src/jobs/step-definition.js'
import { FleetTime } from '../src/jobs/fleet-time.js'
import { JobView } from '../src/jobs/job-view.js'
import { CrashHistory } from '../src/crashes/crash-history.js'
import { FleetWorker } from '../src/workers/fleet-worker.js'
import { RecentStartAttributionPolicy } from '../src/crashes/recent-start-attribution-policy.js'
import { RunIsolation } from '../src/crashes/run-isolation.js'
import { ScheduledJob } from '../src/scheduling/scheduled-job.js'
import type { ScheduledTask } from '../src/scheduling/scheduled-task.js'
import { FakeClock } from './support/fake-clock.js'
import { PLAIN_STEP } from './support/plain-step.js'

/** Time of the last report of the workers in these tests. */
const HEARD_AT = 1_700_000_100_000

let jobCount = 0

function createTasks (step: Partial<StepDefinition>): readonly ScheduledTask[] {
  jobCount += 1
  const view = new JobView({ id: `job${jobCount}`, queue: 'queue', team: 'team', specification: '', steps: [{ ...PLAIN_STEP, ...step }], occurrences: 1, startAt: 0, intervalMilliseconds: 0, submittedAt: 0 })
  const [scheduledStep] = new ScheduledJob(view, new FleetTime(new FakeClock(HEARD_AT), 'one')).openNextOccurrence().steps
  scheduledStep?.open()
  return scheduledStep?.tasks ?? []
}

function createWorker (): FleetWorker {
  const worker = new FleetWorker({ id: 'i-1', incarnation: 1, pool: 'work', address: '', availabilityZone: 'a', capacity: { millicores: 64_000, memoryMegabytes: 64_000, accelerators: 0 }, labels: ['a', 'r1'], isDraining: false }, 0, Infinity, { maximumLeaseMilliseconds: 6_000, maximumCallDelayMilliseconds: 12_000 })
  worker.recordReport(1, HEARD_AT, HEARD_AT)
  return worker
}

/** Runs the tasks on a worker, started so many milliseconds before its last report. */
function run (worker: FleetWorker, tasks: readonly ScheduledTask[], age: number, runState: ScheduledTask['runState'] = 'running'): void {
  for (const task of tasks) {
    Object.assign(task, { phase: 'placed', run: 1, worker, runState, startOrderedAt: HEARD_AT - age })
    worker.reserve(task)
  }
}

function roles (worker: FleetWorker): string[] {
  return new RecentStartAttributionPolicy().attribute(worker).map(({ task, role }) => `${task.index} ${role}`)
}

test('the only run that had just started is the culprit, and what had been running is not suspected', () => {
  const worker = createWorker()
  run(worker, createTasks({ count: 2 }), 5_000)
  run(worker, createTasks({ count: 1 }), -10)
  expect(roles(worker)).toEqual(['0 bystander', '1 bystander', '0 culprit'])
})

test('of several runs that had just started each is a suspect, but a gang counts as one', () => {
  const worker = createWorker()
  run(worker, createTasks({ count: 2 }), 100)
  expect(roles(worker)).toEqual(['0 suspect', '1 suspect'])
  const gangWorker = createWorker()
  run(gangWorker, createTasks({ count: 2, isGang: true }), 100)
  expect(roles(gangWorker)).toEqual(['0 culprit', '1 culprit'])
})

test('a run whose start was never confirmed counts as unconfirmed, and one whose order was not sent not at all', () => {
  const worker = createWorker()
  run(worker, createTasks({}), -10, 'settling')
  run(worker, createTasks({}), -10, 'starting')
  run(worker, createTasks({}), -10, 'intended')
  expect(roles(worker)).toEqual(['0 unconfirmed', '0 unconfirmed'])
})

test('a lasting task that has been running for long is left out, an ordinary one is a bystander', () => {
  const worker = createWorker()
  run(worker, createTasks({ isLasting: true }), 10_000)
  run(worker, createTasks({ isLasting: true }), 9_000)
  run(worker, createTasks({}), 60_000)
  expect(roles(worker)).toEqual(['0 bystander', '0 bystander'])
})

test.each([
  ['ten seconds by its clock, even one that is 2% fast', 10_200, true],
  ['less', 10_100, false],
  ['an unknown time, as after an owner of an older version', null, false]
])('a lasting run that another owner had placed on the worker is stable after %s', (_, age, isStable) => {
  const worker = createWorker()
  const tasks = createTasks({ isLasting: true })
  const [task] = tasks
  run(worker, tasks, 0, 'inherited')
  Object.assign(task ?? {}, { startOrderedAt: 0, placedAtClock: age === null ? 0 : 50_000 })
  task?.recordReported(HEARD_AT, 50_000 + (age ?? 0))
  expect(task?.isStable).toBe(isStable)
  expect(task?.isOnTrial).toBe(true)
  worker.recordReport(50_000, HEARD_AT + 10_000, HEARD_AT + 10_000)
  expect(task?.isStable).toBe(true)
})

test('a task is given up before it could be started three times more after three crashes, whatever its part in them', () => {
  const crashRoles = fc.array(fc.constantFrom('bystander' as const, 'suspect' as const, 'culprit' as const, 'unconfirmed' as const), { minLength: 5, maxLength: 5 })
  fc.assert(fc.property(crashRoles, crashes => {
    const history = new CrashHistory()
    crashes.forEach((role, index) => history.record({ run: index + 1, role }))
    expect(history.isExhausted).toBe(true)
  }), { seed: 1 })
})

test('no task is given up before two workers have certainly crashed under it, unless five may have', () => {
  const crashRoles = fc.array(fc.constantFrom('bystander' as const, 'suspect' as const, 'culprit' as const, 'unconfirmed' as const), { maxLength: 4 })
  fc.assert(fc.property(crashRoles, crashes => {
    const history = new CrashHistory(crashes.map((role, index): RunCrash => ({ run: index + 1, role })))
    if (crashes.filter(role => role !== 'unconfirmed').length < 2) expect(history.isExhausted).toBe(false)
  }), { seed: 2 })
})

test('the crash of a run counts once', () => {
  const history = new CrashHistory()
  expect(history.record({ run: 1, role: 'culprit' })).toBe(true)
  expect(history.record({ run: 1, role: 'culprit' })).toBe(false)
  expect(history.isExhausted).toBe(false)
})

test('a suspected task starts only where no other run is on trial, and nothing else starts beside it until it has passed', () => {
  const isolation = new RunIsolation(HEARD_AT)
  const [suspect] = createTasks({})
  const [other] = createTasks({})
  if (!suspect || !other) throw new Error('no tasks')
  suspect.crashes.record({ run: 1, role: 'culprit' })
  const busy = createWorker()
  run(busy, createTasks({}), 100)
  const settled = createWorker()
  run(settled, createTasks({}), 1_000)
  expect([busy, settled].map(worker => isolation.permits(suspect, worker))).toEqual([false, true])
  suspect.isIsolated = true
  run(settled, [suspect], 0)
  expect(isolation.permits(other, settled)).toBe(false)
  settled.recordReport(1, HEARD_AT + 1_000, HEARD_AT + 1_000)
  expect(isolation.permits(other, settled)).toBe(true)
})

test('a withheld worker gets nothing in the round, and a task suspected once waits for one only until its deadline', () => {
  const [suspect] = createTasks({})
  const [other] = createTasks({})
  if (!suspect || !other) throw new Error('no tasks')
  suspect.crashes.record({ run: 1, role: 'suspect' })
  suspect.isolationDeadline = HEARD_AT + 1_000
  const older = createWorker()
  run(older, createTasks({}), 250)
  const newer = createWorker()
  run(newer, createTasks({}), 10)
  const isolation = new RunIsolation(HEARD_AT)
  isolation.withholdOne([newer, older], suspect)
  expect([older, newer].map(worker => isolation.permits(other, worker))).toEqual([false, true])
  expect(isolation.hasRoom([older, newer], suspect)).toBe(false)
  expect(new RunIsolation(HEARD_AT + 1_000).applies(suspect)).toBe(false)
})
