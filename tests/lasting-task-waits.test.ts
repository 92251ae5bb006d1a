/**
 * Tests of how long lasting tasks wait for a start while there is room for them and their owner goes on.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Time without a run after which a task may count as lost, in milliseconds. */
const LOST_AFTER_MILLISECONDS = 6_000

/** Makes the runs of tasks of a job's first step last until they are stopped. */
function letLast (fleet: EmulatedFleet, job: string, tasks: number): void {
  for (let index = 0; index < tasks; index++) fleet.outcomesByTask.set(`${job}.0.0.${index}`, { milliseconds: Infinity, result: 'done' })
}

/** Advances time, and returns the longest time for which any task of a job's first step was without a run, in milliseconds. Fails if a task has two runs at once. */
async function longestWait (fleet: EmulatedFleet, job: string, tasks: number, milliseconds: number): Promise<number> {
  const waits = Array<number>(tasks).fill(0)
  const lastSeenAt = Array<number>(tasks).fill(fleet.clock.now())
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
    await fleet.clock.advance(50)
    const running = new Set(fleet.emulator.workerIncarnations.filter(({ isTerminated }) => !isTerminated).flatMap(worker => worker.running))
    for (let index = 0; index < tasks; index++) {
      waits[index] = Math.max(waits[index] ?? 0, fleet.clock.now() - (lastSeenAt[index] ?? 0))
      if (running.has(`${job}.0.0.${index}`)) lastSeenAt[index] = fleet.clock.now()
    }
  }
  expect(fleet.violations()).toEqual([])
  return Math.max(...waits)
}

// Guards against choosing the same worker again and again: it reports, but no start there is answered.
test('a lasting task starts on another worker when the first one reports but does not answer starts', async () => {
  const fleet = await EmulatedFleet.create(3, ['one'], 1, false)
  const [first] = fleet.emulator.workerIncarnations
  fleet.emulator.faults.lateStartAddresses.add(first?.address ?? '')
  letLast(fleet, 'aaaa', 2)
  await fleet.submit('one', 'aaaa', [{ count: 2, isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 2, 20_000)).toBeLessThan(LOST_AFTER_MILLISECONDS)
  expect(first?.starts).toEqual([])
})
