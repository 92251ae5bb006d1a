/**
 * Tests of the check of how many lasting tasks the system's own actions ended at a time: a check that allows too much hides violations in all series that use it.
 */
import { expect, test } from 'vitest'
import { disruptionBudgetViolations } from '../stand-ins/emulator/disruption-budget-violations.js'
import { PlatformEmulator } from '../stand-ins/emulator/platform-emulator.js'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { FakeClock } from './support/fake-clock.js'

const NOTICE_MILLISECONDS = 4_500

/** A step of three lasting tasks, each at work on a worker of its own, which may miss one. */
class Scene {
  readonly clock = new FakeClock(1_700_000_000_000)
  readonly emulator = new PlatformEmulator(this.clock, () => ({ milliseconds: Infinity, result: 'done' }))
  readonly workers: EmulatedWorker[] = []
  readonly step = { name: 'aaaa.0.0', tasks: 3, budget: 1, acceptedAt: 0, cancelledAt: Infinity }
  isCalm = true

  static async create (): Promise<Scene> {
    const scene = new Scene()
    for (let index = 0; index < 4; index++) scene.workers.push(...[scene.emulator.addVirtualMachine('work', 'a')].flatMap(worker => worker ?? []))
    for (let index = 0; index < scene.step.tasks; index++) await scene.start(index, index)
    await scene.clock.advance(1_000)
    return scene
  }

  /** Starts run `run` of a task on a worker. */
  async start (task: number, worker: number, run = 1): Promise<void> {
    const found = this.workers[worker]
    await found?.handle('run-start', { task: `aaaa.0.0.${task}`, run, deadline_ms: found.clockMilliseconds + 6_000 } as never)
  }

  async stop (task: number, worker = task, run = 1): Promise<void> {
    await this.workers[worker]?.handle('run-stop', { task: `aaaa.0.0.${task}`, run } as never)
  }

  /** Advances time in steps in which all leases but those of some workers are renewed. */
  async advance (milliseconds: number, except: readonly number[] = []): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 500) {
      await this.clock.advance(500)
      for (const [index, worker] of this.workers.entries()) if (!except.includes(index) && !worker.isTerminated) await worker.handle('hold', { deadline_ms: worker.clockMilliseconds + 6_000 } as never)
    }
  }

  async maintain (worker: number): Promise<void> {
    this.emulator.virtualMachines.order('machine-upkeep', { machine: this.workers[worker]?.virtualMachine ?? '', wave: 1 }, 'one', 1)
  }

  crash (worker: number): void {
    const found = this.workers[worker]
    if (found) this.emulator.crash(found)
  }

  /** Tasks whose ends are findings. */
  findings (): string[] {
    const found = disruptionBudgetViolations({ workers: this.emulator.workerIncarnations, orders: this.emulator.virtualMachines.orders, steps: [this.step], noticeMilliseconds: NOTICE_MILLISECONDS, isCalm: () => this.isCalm })
    return found.map(finding => finding.slice(0, finding.indexOf(':')))
  }
}

test('a stop while another task has been stopped and not started again is a finding', async () => {
  const scene = await Scene.create()
  await scene.stop(0)
  await scene.advance(500)
  await scene.stop(1)
  expect(scene.findings()).toEqual(['aaaa.0.0.1'])
})

test('a stop after the task that was stopped before is at work again is allowed', async () => {
  const scene = await Scene.create()
  for (const worker of scene.workers) worker.warmUpMilliseconds = 400
  await scene.stop(0)
  await scene.start(0, 3, 2)
  await scene.advance(500)
  await scene.stop(1)
  expect(scene.findings()).toEqual([])
})

test('a stop while the task that was stopped before warms up is a finding', async () => {
  const scene = await Scene.create()
  for (const worker of scene.workers) worker.warmUpMilliseconds = 600
  await scene.stop(0)
  await scene.start(0, 3, 2)
  await scene.advance(500)
  await scene.stop(1)
  expect(scene.findings()).toEqual(['aaaa.0.0.1'])
})

test.each([[4_000, []], [4_500, ['aaaa.0.0.1']]])('an order to a VM %i ms after another task was lost in a crash: %j', async (milliseconds, findings) => {
  const scene = await Scene.create()
  scene.crash(0)
  await scene.advance(milliseconds)
  await scene.maintain(1)
  expect(scene.findings()).toEqual(findings)
})

test.each([[true, ['aaaa.0.0.1']], [false, []]])('a lease that expires while calm is %s counts as an action of the system', async (isCalm, findings) => {
  const scene = await Scene.create()
  scene.isCalm = isCalm
  await scene.advance(6_000, [0])
  await scene.stop(1)
  expect(scene.findings()).toEqual(findings)
})

test('runs on one VM that end by one order are counted one after the other', async () => {
  const scene = await Scene.create()
  await scene.stop(2)
  await scene.start(2, 0, 2)
  await scene.maintain(0)
  expect(scene.findings()).toEqual(['aaaa.0.0.2'])
})

test('ends on workers that are shutting down, after a cancellation, and of runs that are not at work yet are not findings', async () => {
  const scene = await Scene.create()
  await scene.stop(0)
  const [, draining, cancelled] = scene.workers
  if (draining) scene.emulator.drain(draining)
  await scene.advance(500)
  await scene.stop(1)
  for (const worker of scene.workers) worker.warmUpMilliseconds = 10_000
  await scene.start(1, 3, 2)
  await scene.stop(1, 3, 2)
  expect(scene.findings()).toEqual([])
  expect(cancelled?.running).toEqual(['aaaa.0.0.2'])
  Object.assign(scene.step, { cancelledAt: scene.clock.now() })
  await scene.stop(2)
  expect(scene.findings()).toEqual([])
})
