/**
 * Tests of series in which many workers restart together: what is sound is neither given up nor kept waiting.
 */
import { expect, test } from 'vitest'
import type { StepDefinition } from '../src/jobs/step-definition.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Time without a run after which a task that lasts may count as lost, in milliseconds. */
const LOST_AFTER_MILLISECONDS = 6_000

/** Workers of the fleet, and lasting jobs of two tasks each. */
const WORKERS = 12
const LASTING_JOBS = 10

/** Starts of a deadly task up to which it has not been started three times more after its third crash. */
const MAXIMUM_STARTS = 5

interface Series {
  readonly intervalMilliseconds: number
  /** Fraction of the workers that restart each time. */
  readonly share: number
  /** Times after which they are back, in turn, in milliseconds. */
  readonly downtimes: readonly number[]
  /** Time after each restart at which the owner is killed, in turn; none if empty. */
  readonly kills: readonly number[]
  readonly restarts: number
  /** Whether calls to the workers that are down get no response, instead of being refused. */
  readonly isDark: boolean
}

const EVERY_NINE_SECONDS: Series = { intervalMilliseconds: 9_000, share: 0.7, downtimes: [600], kills: [300, 650, 750, 900], restarts: 4, isDark: true }
const EVERY_THREE_SECONDS: Series = { intervalMilliseconds: 2_700, share: 0.6, downtimes: [300, 600, 900, 1_400], kills: [], restarts: 15, isDark: true }

/** Restarts some workers together, and returns once they are back, with the owner replaced in between if `killAfter` says so. */
async function restartTogether (fleet: EmulatedFleet, random: SeededRandomSource, { share, isDark }: Series, downtime: number, killAfter: number): Promise<void> {
  const up = fleet.emulator.workerIncarnations.filter(({ isTerminated }) => !isTerminated)
  const hit = up.filter(() => random.next() < share)
  for (const worker of hit) isDark ? fleet.emulator.outages.cutPower(worker) : fleet.emulator.crash(worker)
  if (killAfter > 0 && killAfter < downtime) {
    await fleet.clock.advance(killAfter)
    replaceOwner(fleet)
  }
  await fleet.clock.advance(downtime - (killAfter < downtime ? killAfter : 0))
  for (const worker of hit) fleet.emulator.restart(worker)
  if (killAfter >= downtime) {
    await fleet.clock.advance(killAfter - downtime)
    replaceOwner(fleet)
  }
}

function replaceOwner (fleet: EmulatedFleet): void {
  fleet.kill(fleet.owner())
  fleet.start(`next-${fleet.clock.now()}`)
}

/** Names of the lasting tasks, which run until they are stopped. */
function lastingTasks (): string[] {
  return Array.from({ length: LASTING_JOBS }, (_, job) => [0, 1].map(index => `last${job}.0.0.${index}`)).flat()
}

/** A task that crashes its workers some time after each start. */
interface DeadlyTask {
  readonly step: Partial<StepDefinition>
  readonly milliseconds: number
}

/** Plays a series on a fleet with lasting jobs and others, and perhaps a deadly task from the second restart on; returns the fleet after all of it. */
async function play (seed: number, series: Series, deadly: DeadlyTask | null): Promise<EmulatedFleet> {
  const random = new SeededRandomSource(seed)
  const fleet = await EmulatedFleet.create(WORKERS, ['one', 'two', 'three'], seed, false)
  fleet.emulator.faults.crashDowntimeMilliseconds = 2_000
  fleet.emulator.faults.keepsIdAfterCrash = true
  for (const task of lastingTasks()) fleet.outcomesByTask.set(task, { milliseconds: Infinity, result: 'done' })
  for (let job = 0; job < LASTING_JOBS; job++) await fleet.submit(fleet.owner(), `last${job}`, [{ count: 2, isLasting: true }])
  for (let restart = 0; restart < series.restarts; restart++) {
    const startedAt = fleet.clock.now()
    for (let index = 0; index < 4; index++) fleet.outcomesByTask.set(`work${restart}.0.0.${index}`, { milliseconds: 4_000, result: 'done' })
    await fleet.submit(fleet.owner(), `work${restart}`, [{ count: 4 }])
    await restartTogether(fleet, random, series, series.downtimes[restart % series.downtimes.length] ?? 0, series.kills[restart % series.kills.length] ?? 0)
    if (deadly && restart === 1) {
      for (let index = 1; index < (deadly.step.count ?? 1); index++) fleet.outcomesByTask.set(`dead.0.0.${index}`, { milliseconds: Infinity, result: 'done' })
      fleet.outcomesByTask.set('dead.0.0.0', { milliseconds: deadly.milliseconds, result: 'crash' })
      await fleet.submit(fleet.nonOwner(), 'dead', [deadly.step])
    }
    await fleet.clock.advance(Math.max(0, startedAt + series.intervalMilliseconds - fleet.clock.now()))
  }
  return fleet
}

const cases = [1, 2, 3].flatMap(seed => [true, false].flatMap(isDark => [EVERY_NINE_SECONDS, EVERY_THREE_SECONDS].flatMap(series => [false, true].map(isDeadlyTaskThere => ({ seed, isDark, series: { ...series, isDark }, isDeadlyTaskThere, every: series.intervalMilliseconds })))))

// Guards against sound tasks that are taken for the cause of restarts, and against trials without end.
test.each(cases)('no sound task is given up or left waiting when workers restart together every $every ms, seed $seed, without a response: $isDark, beside a deadly task: $isDeadlyTaskThere', async ({ seed, series, isDeadlyTaskThere }) => {
  const fleet = await play(seed, series, isDeadlyTaskThere ? { step: {}, milliseconds: 20 } : null)
  const lastRestartAt = fleet.clock.now()
  const missing = new Set(lastingTasks())
  while (missing.size > 0 && fleet.clock.now() < lastRestartAt + LOST_AFTER_MILLISECONDS) {
    await fleet.clock.advance(50)
    for (const { isTerminated, running } of fleet.emulator.workerIncarnations) if (!isTerminated) for (const task of running) missing.delete(task)
  }
  for (let job = 0; job < LASTING_JOBS; job++) expect([job, await fleet.state(fleet.owner(), `last${job}`)]).toEqual([job, { kind: 'state', state: 'running' }])
  expect([...missing]).toEqual([])
  await fleet.clock.advance(10_000)
  for (let job = 0; job < series.restarts; job++) expect([job, await fleet.state(fleet.owner(), `work${job}`)]).toEqual([job, { kind: 'state', state: 'completed' }])
  expect(fleet.violations()).toEqual([])
  if (!isDeadlyTaskThere) return
  expect(await fleet.state(fleet.owner(), 'dead')).toEqual({ kind: 'state', state: 'failed' })
  expect(fleet.starts('dead.0.0.0').length).toBeLessThanOrEqual(MAXIMUM_STARTS)
})

const kinds: ReadonlyArray<readonly [string, Partial<StepDefinition>]> = [['plain', {}], ['gang', { count: 3, isGang: true }], ['lasting', { count: 2, isLasting: true }], ['speculative', { count: 2, isSpeculative: true }]]

// Guards against deadly tasks that go on crashing workers because restarts around them excuse it.
test.each(kinds.flatMap(([kind, step]) => [20, 1_000].flatMap(milliseconds => [4, 5].map(seed => ({ kind, step, milliseconds, seed })))))('a $kind task that crashes its workers after $milliseconds ms is given up in time while workers restart together, seed $seed', async ({ step, milliseconds, seed }) => {
  const fleet = await play(seed, EVERY_THREE_SECONDS, { step, milliseconds })
  await fleet.clock.advance(15_000)
  expect(await fleet.state(fleet.owner(), 'dead')).toEqual({ kind: 'state', state: 'failed' })
  // A start that a restart has ended first is no crash by the task.
  expect(fleet.starts('dead.0.0.0').length).toBeLessThanOrEqual(MAXIMUM_STARTS)
  for (let job = 0; job < LASTING_JOBS; job++) expect([job, await fleet.state(fleet.owner(), `last${job}`)]).toEqual([job, { kind: 'state', state: 'running' }])
  expect(fleet.violations()).toEqual([])
})
