/**
 * Tests of the order in which steps are placed, with loads that exceed what a pool can do in time.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Ratio and addend of a job's target, as the fleet's queue is configured. */
const STRETCH = 1.6
const TARGET_LATENCY_MILLISECONDS = 600

/** A kind of job of the test's load. */
interface JobKind {
  readonly tasks: number
  readonly millicores: number
  readonly milliseconds: number
  readonly perSecond: number
}

/** Together 1.6 times the work that the workers can do. */
const SMALL: JobKind = { tasks: 4, millicores: 2_000, milliseconds: 1_000, perSecond: 12 }
const WIDE: JobKind = { tasks: 12, millicores: 16_000, milliseconds: 1_000, perSecond: 1.6 }

/** Duration of the load, in milliseconds. */
const LOAD_MILLISECONDS = 6_000

test('in an overload, small jobs meet their target beside wide ones, and every wide job is done', async () => {
  const fleet = new EmulatedFleet(1)
  for (let count = 0; count < 4; count++) fleet.emulator.addVirtualMachine('work', 'a')
  fleet.configure({ hasStandby: false })
  fleet.start('one')
  await fleet.clock.advance(2_000)
  const jobs: { id: string, kind: JobKind, submittedAt: number }[] = []
  const startedAt = fleet.clock.now()
  const nextAt = new Map([[SMALL, startedAt], [WIDE, startedAt]])
  while (fleet.clock.now() < startedAt + LOAD_MILLISECONDS) {
    for (const kind of [WIDE, SMALL]) {
      const dueAt = nextAt.get(kind) ?? Infinity
      if (dueAt > fleet.clock.now()) continue
      nextAt.set(kind, dueAt + 1_000 / kind.perSecond)
      const id = jobs.length.toString(16).padStart(4, 'f')
      for (let index = 0; index < kind.tasks; index++) fleet.outcomesByTask.set(`${id}.0.0.${index}`, { milliseconds: kind.milliseconds, result: 'done' })
      jobs.push({ id, kind, submittedAt: fleet.clock.now() })
      fleet.submit('one', id, [{ count: kind.tasks, estimateMilliseconds: kind.milliseconds, demand: { millicores: kind.millicores, memoryMegabytes: 100, accelerators: 0 } }]).catch(() => {})
    }
    await fleet.clock.advance(10)
  }
  await fleet.clock.advance(15_000)
  const isInTime = ({ id, kind, submittedAt }: typeof jobs[number]): boolean => {
    const lastStartAt = Math.max(...Array.from({ length: kind.tasks }, (_, index) => fleet.starts(`${id}.0.0.${index}`)[0]?.at ?? Infinity))
    return lastStartAt + kind.milliseconds <= submittedAt + STRETCH * kind.milliseconds + TARGET_LATENCY_MILLISECONDS
  }
  // A small job may wait for 1.2 s, longer than any task runs.
  const small = jobs.filter(({ kind }) => kind === SMALL)
  const wide = jobs.filter(({ kind }) => kind === WIDE)
  expect(small.length).toBeGreaterThan(60)
  expect(small.filter(job => !isInTime(job))).toEqual([])
  for (const { id } of wide) expect(await fleet.state('one', id)).toEqual({ kind: 'state', state: 'completed' })
  // The workers can do two thirds of the load in time; the wide jobs get what the small ones leave.
  expect(wide.filter(isInTime).length).toBeGreaterThanOrEqual(1)
  expect(fleet.violations()).toEqual([])
})
