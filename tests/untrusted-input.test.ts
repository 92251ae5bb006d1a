/**
 * Tests of what malformed, oversized and unexpected input does to the processes.
 */
import fc from 'fast-check'
import { Right } from 'purify-ts/Either'
import { expect, test } from 'vitest'
import type { FeedChange } from '../src/feeds/feed-change.js'
import { FeedFollowerTask } from '../src/feeds/feed-follower-task.js'
import { RecordFeed } from '../src/feeds/record-feed.js'
import { MemoryMetrics } from '../src/observability/memory-metrics.js'
import { WireJob } from '../src/platform/wire-job.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { EmulatedFleet } from './support/emulated-fleet.js'
import { FakeClock } from './support/fake-clock.js'
import { RecordingDecisionLog } from './support/recording-decision-log.js'

/** A feed with the records 0 to 4. */
class NumberFeed extends RecordFeed<number> {
  constructor (private readonly _clock: FakeClock) {
    super()
  }

  override async newest (): ReturnType<RecordFeed<number>['newest']> {
    return Right({ changes: [{ offset: 0, value: 0 }], next: 1, end: 5 })
  }

  override async read (offset: number): ReturnType<RecordFeed<number>['read']> {
    await this._clock.sleepUntil(this._clock.now() + 10)
    return Right({ changes: [1, 2, 3, 4].slice(offset - 1).map(value => ({ offset: value, value })), next: 5, end: 5 })
  }
}

/** Follows `NumberFeed` and fails on one record. */
class NumberFollower extends FeedFollowerTask<number> {
  override readonly name = 'numbers'
  readonly applied: number[] = []

  protected override reload (changes: ReadonlyArray<FeedChange<number>>): void {
    for (const change of changes) this.applyOrSkip(change)
  }

  protected override apply ({ value }: FeedChange<number>): void {
    if (value === 2) throw new Error('two is not applied')
    this.applied.push(value)
  }

  protected override minimumReadIntervalMilliseconds (): number {
    return 10
  }
}

test('a follower skips and logs a record that it fails to apply, and goes on with the next', async () => {
  const clock = new FakeClock()
  const log = new RecordingDecisionLog()
  const follower = new NumberFollower(new NumberFeed(clock), clock, new SeededRandomSource(1), new MemoryMetrics(), log)
  const stop = new AbortController()
  const ended = follower.run(stop.signal)
  await clock.advance(500)
  stop.abort()
  await clock.advance(100)
  await ended
  expect(follower.applied).toEqual([0, 1, 3, 4])
  expect(log.fieldsOf('record skipped')).toEqual([{ feed: 'numbers', offset: 2, cause: 'two is not applied' }])
})

test('records with arbitrary values under every kind of key stop neither the processes nor a job', { timeout: 60_000 }, async () => {
  const kinds = ['job/', 'cancel/', 'verdict/', 'step/', 'over/', 'wave/', 'order/', 'term', 'config', 'evacuate/', 'i-', '']
  const keys = fc.tuple(fc.constantFrom(...kinds), fc.constantFrom('aaaa', 'aaaa/0/0', 'aaaa/0/99', 'aaaa/x/y', '9', '')).map(([kind, rest]) => kind + rest)
  const values = fc.sample(fc.tuple(keys, fc.jsonValue({ maxDepth: 2 })), { seed: 11, numRuns: 300 })
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  await fleet.submit('one', 'aaaa', [{ count: 2 }])
  for (const [key, value] of values) {
    for (const topic of ['keyed.jobs', 'keyed.decisions', 'keyed.op', 'keyed.servers']) fleet.emulator.store.put(topic, key, { value } as object)
    for (const topic of ['keyed.jobs', 'keyed.decisions', 'keyed.servers']) fleet.emulator.store.put(topic, key, value as object)
  }
  await fleet.clock.advance(10_000)
  await fleet.submit('two', 'bbbb', [{ count: 2 }])
  await fleet.clock.advance(5_000)
  expect(await fleet.state('one', 'bbbb')).toEqual({ kind: 'state', state: 'completed' })
  expect([...fleet.nodes.values()].flatMap(({ log }) => log.fieldsOf('child restarted'))).toEqual([])
  expect(fleet.violations()).toEqual([])
})

test.each([
  ['a step with more tasks than one record holds', { spec: '', steps: [{ count: 2_001 }] }],
  ['more tasks than a process holds in memory', { spec: '', steps: Array.from({ length: 11 }, () => ({ count: 2_000 })) }],
  ['more tasks in all occurrences than a process holds in memory', { spec: '', steps: [{ count: 100 }], repeat_count: 201 }]
])('a job with %s is refused', (_, job) => {
  expect(WireJob.safeParse(job).success).toBe(false)
})

test('a job that the store cannot hold is refused and never runs, and a large one that it can hold runs', { timeout: 60_000 }, async () => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  const label = 'x'.repeat(300)
  expect(await fleet.submit('one', 'aaaa', Array.from({ length: 900 }, () => ({ requiredLabel: label })))).toEqual({ kind: 'too-large' })
  expect(await fleet.submit('one', 'bbbb', [{ count: 2_000, demand: { millicores: 10, memoryMegabytes: 1, accelerators: 0 } }])).toEqual({ kind: 'accepted' })
  await fleet.clock.advance(15_000)
  expect(await fleet.state('one', 'bbbb')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toEqual([])
  expect([...fleet.nodes.values()].flatMap(({ log }) => log.fieldsOf('term lost'))).toEqual([])
})

// Guards against a job that is accepted and then unknown, because its due time can't be read back.
test('a job that was due in 1970 runs at once', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  // The time of day is ahead of the fleet's, so that the due time is before the origin of fleet time.
  for (const { clock } of fleet.nodes.values()) clock.timeOfDayError = 5_000
  await fleet.clock.advance(40_000)
  expect(await fleet.submit('one', 'aaaa', [{}], { occurrences: 2, startAt: 1, intervalMilliseconds: 5 })).toEqual({ kind: 'accepted' })
  await fleet.clock.advance(4_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(['aaaa.0.0.0', 'aaaa.1.0.0'].map(task => fleet.starts(task).length)).toEqual([1, 1])
})

test.each([
  ['a task larger than any VM', { demand: { millicores: 10 ** 12, memoryMegabytes: 1, accelerators: 0 } }],
  ['an endless estimate', { estimateMilliseconds: Number.MAX_VALUE }]
])('jobs with %s do not draw all VMs into their pool, nor keep it from growing', { timeout: 60_000 }, async (_, step) => {
  const fleet = new EmulatedFleet(1)
  fleet.emulator.addVirtualMachine('work', 'a')
  for (let count = 0; count < 6; count++) fleet.emulator.addVirtualMachine('standby', 'a')
  fleet.configure()
  fleet.start('one')
  await fleet.clock.advance(3_000)
  const sizeOfPool = (): number => [...fleet.emulator.virtualMachines.byId.values()].filter(({ pool }) => pool === 'work').length
  if ('demand' in step) for (let index = 0; index < 4; index++) await fleet.submit('one', `aaaa${index}`, [step])
  await fleet.clock.advance(3_000)
  expect(sizeOfPool()).toBeLessThanOrEqual(2)
  for (let index = 0; index < 10; index++) await fleet.submit('one', `bbbb${index}`, [{ count: 8, ...('demand' in step ? {} : step) }])
  // Before the jobs have left the window in which arrivals count.
  await fleet.clock.advance(500)
  expect(sizeOfPool()).toBeGreaterThan(3)
})
