/**
 * Tests of the search for tasks that may get a copy: it runs on the owner's event loop every 100 ms, so it must cost little for tasks that get none.
 */
import { expect, test } from 'vitest'
import type { ConfigurationFollowerTask } from '../src/configuration/configuration-follower-task.js'
import { FleetTime } from '../src/jobs/fleet-time.js'
import { JobView } from '../src/jobs/job-view.js'
import { TeamUsage } from '../src/placement/team-usage.js'
import { ScheduledJob } from '../src/scheduling/scheduled-job.js'
import { ScheduledJobTable } from '../src/scheduling/scheduled-job-table.js'
import { CopyCandidates } from '../src/speculation/copy-candidates.js'
import { RunDurations } from '../src/speculation/run-durations.js'
import { TailSpeculationPolicy } from '../src/speculation/tail-speculation-policy.js'
import { FleetWorker } from '../src/workers/fleet-worker.js'
import { FakeClock } from './support/fake-clock.js'
import { PLAIN_STEP } from './support/plain-step.js'

const QUEUE = { name: 'queue', host: '', pathPrefix: '', pool: 'work', priority: 0, maximumAttempts: 3, stretch: 1.6, targetLatencyMilliseconds: 600, isOpenToAll: false, advice: null }
const clock = new FakeClock()
const NOW = clock.now()

/** A schedule of jobs with one step, of which it counts how often their queue is read. Recent runs took a second. */
class Schedule {
  readonly durations = new RunDurations()
  queueReads = 0
  private readonly _table = new ScheduledJobTable()
  private readonly _worker = new FleetWorker({ id: 'i-1', incarnation: 1, pool: 'work', address: '', availabilityZone: 'a', capacity: { millicores: 64_000, memoryMegabytes: 64_000, accelerators: 0 }, labels: [], isDraining: false }, 0, Infinity, { maximumLeaseMilliseconds: 6_000, maximumCallDelayMilliseconds: 12_000 })
  private readonly _configuration = { queueOf: () => { this.queueReads += 1; return QUEUE }, team: () => null } as unknown as ConfigurationFollowerTask
  private readonly _candidates = new CopyCandidates(this._table, this._configuration, new TeamUsage(this._configuration), this.durations, new TailSpeculationPolicy())

  constructor () {
    this._worker.recordReport(1, NOW, NOW)
    this._worker.reportDueAt = Infinity
  }

  /** Adds a job whose tasks run since the given ages, in milliseconds; those with null wait. */
  add (id: string, isSpeculative: boolean, ages: readonly (number | null)[]): void {
    const steps = [{ ...PLAIN_STEP, count: ages.length, isSpeculative }]
    const job = new ScheduledJob(new JobView({ id, queue: 'queue', team: 'team', specification: '', steps, occurrences: 1, startAt: 0, intervalMilliseconds: 0, submittedAt: NOW }), new FleetTime(clock, 'one'))
    const [step] = job.openNextOccurrence().steps
    step?.open()
    for (const [index, age] of ages.entries()) {
      const task = step?.tasks[index]
      if (age !== null && task) Object.assign(task, { phase: 'placed', run: 1, runState: 'running', worker: this._worker, confirmedAt: NOW - age, startToken: 1 })
      if (task && isSpeculative) for (let run = 0; run < 3; run++) this.durations.record(Object.assign(Object.create(task), { confirmedAt: NOW - 1_000, startToken: 1 }), NOW)
    }
    this._table.add(job)
  }

  find (): string[] {
    this.queueReads = 0
    return [...this._candidates.find(NOW).values()].flat().map(({ task }) => task.name)
  }
}

test('only runs older than twice their expected duration are candidates', () => {
  const schedule = new Schedule()
  schedule.add('aaaa', true, [2_001, 2_000, 500, null])
  schedule.add('bbbb', false, [9_000])
  expect(schedule.find()).toEqual(['aaaa.0.0.0'])
})

// Guards against work for each task or step that can't get a copy: with thousands of running tasks it took up to 40 ms every 100 ms.
test('the queue of a step is read once if a task has a run, and otherwise not at all', () => {
  const schedule = new Schedule()
  schedule.add('aaaa', true, Array.from({ length: 40 }, () => 3_000))
  for (let job = 0; job < 10; job++) schedule.add(`waiting${job}`, true, [null, null])
  for (let job = 0; job < 10; job++) schedule.add(`plain${job}`, false, [3_000, null])
  expect(schedule.find()).toHaveLength(40)
  expect(schedule.queueReads).toBe(1)
})
