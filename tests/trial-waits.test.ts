/**
 * Tests of how long suspected tasks wait for their trials while there is room.
 */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Time without a run after which a task may count as lost, in milliseconds. */
const LOST_AFTER_MILLISECONDS = 6_000

/** Time after which other suspected tasks have a run, in milliseconds: the wait for a trial, the loss before it and the trial of another. */
const TRIAL_BOUND_MILLISECONDS = 14_000

/** Time for which a worker is down after each end, in milliseconds. */
const DOWNTIME_MILLISECONDS = 400

/** Tasks of each kind for each worker: while one worker is down, the others have room for all of them twice over. */
const TASKS_PER_WORKER = 3

/** A series in which workers end one after the other. */
const series = fc.record({
  seed: fc.integer({ min: 1, max: 1_000 }),
  workers: fc.integer({ min: 3, max: 8 }),
  ends: fc.integer({ min: 6, max: 16 }),
  /** Mean time between ends as a multiple of that at which a third of the workers ends every 3 s. */
  spacing: fc.constantFrom(1, 1.5, 2)
})

/** Names of the tasks that have a run. */
function runningTasks (fleet: EmulatedFleet): Set<string> {
  return new Set(fleet.emulator.workerIncarnations.filter(({ isTerminated }) => !isTerminated).flatMap(({ running }) => running))
}

/** Ends workers one after the other, soon after the starts of runs; returns the longest time without a run of each task from then on. */
async function longestWaits (fleet: EmulatedFleet, tasks: readonly string[], { seed, workers, ends, spacing }: { seed: number, workers: number, ends: number, spacing: number }): Promise<Map<string, number>> {
  const random = new SeededRandomSource(seed)
  const lastSeenAt = new Map(tasks.map(task => [task, fleet.clock.now()]))
  const waits = new Map(tasks.map(task => [task, 0]))
  const advance = async (milliseconds: number): Promise<void> => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
      await fleet.clock.advance(50)
      const running = runningTasks(fleet)
      for (const task of tasks) {
        waits.set(task, Math.max(waits.get(task) ?? 0, fleet.clock.now() - (lastSeenAt.get(task) ?? 0)))
        if (running.has(task)) lastSeenAt.set(task, fleet.clock.now())
      }
    }
  }
  for (let count = 0; count < ends; count++) {
    const up = fleet.emulator.workerIncarnations.filter(({ isTerminated }) => !isTerminated)
    const worker = up[Math.floor(random.next() * up.length)]
    if (worker) fleet.emulator.crash(worker)
    await advance(DOWNTIME_MILLISECONDS)
    if (worker) fleet.emulator.restart(worker)
    await advance(-Math.log(1 - random.next()) * spacing * 9_000 / workers)
  }
  await advance(TRIAL_BOUND_MILLISECONDS + 2_000)
  return waits
}

// Guards against trials one after the other, for which sound tasks wait with most of the room free.
test('no task waits without bound for a run while workers end one after the other, whatever it is suspected of', { timeout: 240_000 }, async () => {
  await fc.assert(fc.asyncProperty(series, async drawn => {
    const fleet = await EmulatedFleet.create(drawn.workers, ['one'], drawn.seed, false)
    const count = drawn.workers * TASKS_PER_WORKER
    const tasks = [...Array.from({ length: count }, (_, index) => `last.0.0.${index}`), ...Array.from({ length: count }, (_, index) => `work.0.0.${index}`)]
    for (const task of tasks) fleet.outcomesByTask.set(task, { milliseconds: Infinity, result: 'done' })
    await fleet.submit('one', 'last', [{ count, isLasting: true }])
    await fleet.submit('one', 'work', [{ count }])
    await fleet.clock.advance(100)
    const waits = await longestWaits(fleet, tasks, drawn)
    expect(await fleet.state('one', 'last')).toEqual({ kind: 'state', state: 'running' })
    expect(await fleet.state('one', 'work')).toEqual({ kind: 'state', state: 'running' })
    expect([...waits].filter(([task, wait]) => wait >= (task.startsWith('last') ? LOST_AFTER_MILLISECONDS : TRIAL_BOUND_MILLISECONDS))).toEqual([])
    expect(fleet.violations()).toEqual([])
  }), { seed: 53, numRuns: 24, endOnFailure: true })
})
