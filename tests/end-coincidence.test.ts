/**
 * Tests of the decisions on ends of workers with a common cause, and of how often sound tasks are taken for deadly ones and deadly tasks are missed.
 */
import { expect, test } from 'vitest'
import { CrashHistory } from '../src/crashes/crash-history.js'
import { RecentWorkerEnds } from '../src/crashes/recent-worker-ends.js'
import { ShareCoincidencePolicy } from '../src/crashes/share-coincidence-policy.js'
import type { WorkerEnd } from '../src/crashes/worker-end.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'

const policy = new ShareCoincidencePolicy()

/** Starts of a deadly task up to which it has not been started three times more after its third crash. */
const MAXIMUM_STARTS = 5

/** Time that a worker's end takes to be noticed, in milliseconds. */
const DETECTION_MILLISECONDS = 50

function end (worker: number, at: number, trialStarts: readonly number[] = [], place: Partial<WorkerEnd> = {}): WorkerEnd {
  return { worker: `i-${worker}`, incarnation: at, pool: 'work', rack: `r${worker % 4}`, availabilityZone: 'a', earliestAt: at, latestAt: at + DETECTION_MILLISECONDS, isAbrupt: true, trialStarts: [...trialStarts], ...place }
}

const places = Array.from({ length: 20 }, (_, worker) => end(worker, 0))

test('a worker that ends alone, or with one other, has no common cause with it', () => {
  expect(policy.commonCause(end(0, 1_000), [], places.slice(1))).toBeNull()
  expect(policy.commonCause(end(0, 1_000), [end(5, 1_000)], places.slice(1))).toBeNull()
})

test.each([
  ['a fifth of the fleet', [1, 2, 3, 5], {}, 'fleet'],
  ['a third of its pool', [1, 2], { pool: 'small' }, 'pool small'],
  ['a third of its rack', [1, 2], { rack: 'small' }, 'rack small'],
  ['a third of its zone', [1, 2], { availabilityZone: 'small' }, 'zone small']
])('a worker that ends with %s within 300 ms has a common cause with it, within 700 ms it has not', (_, workers, place, name) => {
  const own = end(0, 1_000, [], place)
  const others = places.slice(1).map((other, index) => index < 4 ? { ...other, ...place } : other)
  expect(policy.commonCause(own, workers.map(worker => end(worker, 1_250, [], place)), others)).toContain(name)
  expect(policy.commonCause(own, workers.map(worker => end(worker, 1_700, [], place)), others)).toBeNull()
})

test('ends that runs on trial explain are no common cause: of runs that had just started, or that were started together with those of the worker', () => {
  const workers = [1, 2, 3, 5, 6]
  expect(policy.commonCause(end(0, 5_000, [4_980]), workers.map(worker => end(worker, 5_000, [4_970])), places.slice(1))).toBeNull()
  expect(policy.commonCause(end(0, 5_000, [4_000]), workers.map(worker => end(worker, 5_000, [4_050])), places.slice(1))).toBeNull()
  expect(policy.commonCause(end(0, 5_000, [4_000]), workers.map(worker => end(worker, 5_000, [3_000])), places.slice(1))).not.toBeNull()
  const most = Array.from({ length: 12 }, (_, index) => index + 1)
  expect(policy.commonCause(end(0, 5_000, [4_980]), most.map(worker => end(worker, 5_000, [4_970])), places.slice(1))).not.toBeNull()
})

test('ends of workers that give no response are no common cause of one that refuses connections, nor the reverse', () => {
  const silent = places.slice(1).map((_, index) => end(index + 1, 1_000, [], { isAbrupt: false }))
  expect(policy.commonCause(end(0, 1_000), silent, places.slice(1))).toBeNull()
  expect(policy.commonCause(end(0, 1_000, [], { isAbrupt: false }), silent, places.slice(1))).not.toBeNull()
  expect(policy.commonCause(end(0, 1_000, [], { isAbrupt: false }), silent.map(other => ({ ...other, isAbrupt: true })), places.slice(1))).toBeNull()
})

/** Whether a sound worker ends, and when, in a fleet where a fraction of the workers restarts every 3 s: all at once, or each by itself. */
interface Storm {
  readonly workers: number
  readonly share: number
  readonly isJoint: boolean
}

/** Plays one task until it is given up, has passed a run of ten seconds (as a lasting task does), or has been started too often. */
function playTask (random: SeededRandomSource, { workers, share, isJoint }: Storm, crashAge: number | null, isAlone: boolean): { isGivenUp: boolean, starts: number } {
  const ends = new RecentWorkerEnds(0)
  const history = new CrashHistory()
  const members = Array.from({ length: workers }, (_, worker) => end(worker, 0))
  let now = 0
  let at = 0
  // The ends of all workers up to a time, in order.
  const pending: WorkerEnd[] = []
  const generate = (until: number): void => {
    while (at < until) {
      if (isJoint) {
        at += 3_000
        for (let worker = 0; worker < workers; worker++) if (random.next() < share) pending.push(end(worker, at + random.next() * 150))
      } else {
        at += -Math.log(1 - random.next()) * 3_000 / (share * workers)
        pending.push(end(Math.floor(random.next() * workers), at))
      }
    }
  }
  now = 30_000 + random.next() * 3_000
  for (let run = 1; run <= 200; run++) {
    const startedAt = now
    const worker = Math.floor(random.next() * workers)
    generate(startedAt + 12_000)
    const own = pending.find(other => other.worker === `i-${worker}` && other.earliestAt >= startedAt)
    const soundAge = own ? own.earliestAt - startedAt : Infinity
    const age = Math.min(soundAge, crashAge ?? Infinity)
    if (age > 10_000) return { isGivenUp: false, starts: run }
    const endedAt = startedAt + age
    for (const other of pending) if (other.latestAt <= endedAt + 1_000 && other.worker !== `i-${worker}`) ends.record(other)
    const crash = ends.record(end(worker, endedAt, [startedAt]))
    const near = ends.all.filter(other => other !== crash && other.worker !== crash.worker)
    if (policy.commonCause(crash, near, members.filter(other => other.worker !== crash.worker)) === null) {
      const rate = ends.rate(policy.countBackground(ends.all, crash, workers), workers, endedAt)
      const isOnTrial = age < (history.count < 2 ? 300 : 3_000)
      history.record({ run, role: !isOnTrial ? 'bystander' : run === 1 && !isAlone ? 'suspect' : 'culprit', evidence: { minimumAge: age, maximumAge: age + DETECTION_MILLISECONDS, rate, rivals: run === 1 && !isAlone ? 3 : 0 } })
      if (history.isExhausted) return { isGivenUp: true, starts: run }
    }
    now = endedAt + 800 + random.next() * 400
  }
  return { isGivenUp: false, starts: 200 }
}

function frequency (storm: Storm, crashAge: number | null, isAlone: boolean, isEvent: (outcome: ReturnType<typeof playTask>) => boolean, tasks = 1_000): number {
  const random = new SeededRandomSource(1)
  return Array.from({ length: tasks }, () => playTask(random, storm, crashAge, isAlone)).filter(isEvent).length / tasks
}

const storms = [5, 20, 60].flatMap(workers => [0.1, 1 / 3].flatMap(share => [true, false].map((isJoint): Storm => ({ workers, share, isJoint }))))

// Guards against sound tasks that are taken for the cause of restarts: each was started until it had run for ten seconds.
test.each(storms)('at most 1 in 200 sound tasks is given up with $workers workers, a share of $share ending every 3 s, together: $isJoint', storm => {
  expect(frequency(storm, null, true, ({ isGivenUp }) => isGivenUp)).toBeLessThanOrEqual(1 / 200)
})

// Guards against deadly tasks that restarts around them excuse.
test.each(storms.flatMap(storm => [20, 50, 1_000].map(crashAge => ({ ...storm, crashAge }))))('at most 1 in 20 tasks that crash their worker after $crashAge ms is started too often with $workers workers, a share of $share ending every 3 s, together: $isJoint', ({ crashAge, ...storm }) => {
  expect(frequency(storm, crashAge, false, ({ isGivenUp, starts }) => !isGivenUp || starts > MAXIMUM_STARTS)).toBeLessThanOrEqual(1 / 20)
})
