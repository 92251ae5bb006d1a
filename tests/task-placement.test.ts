/**
 * Tests of tasks on workers: placement by shares, limits and usage, failures, urgent tasks, cancellation, and placement
 * leases that expire or change holder. A task must never have two runs at the same time.
 */
import { describe, expect, it } from 'vitest'
import type { Command } from '../src/schemas/command.js'
import { Pool } from '../src/schemas/pool.js'
import { Queue } from '../src/schemas/queue.js'
import { ControlFleet } from './support/control-fleet.js'

const WORKERS = 6

/** Six workers of 8 cores over two zones, two of them with accelerators, and two teams. */
function configuration (limit = 100): Command[] {
  return [
    { kind: 'put-pool', value: Pool.parse({ name: 'jobs' }), expectedVersion: 0 },
    { kind: 'put-queue', value: Queue.parse({ name: 'jobs', pool: 'jobs', kind: 'task' }), expectedVersion: 0 },
    { kind: 'put-team', value: { name: 'large', share: 3, upperLimit: limit }, expectedVersion: 0 },
    { kind: 'put-team', value: { name: 'small', share: 1, upperLimit: limit }, expectedVersion: 0 },
    ...Array.from({ length: WORKERS }, (_, index): Command => ({
      kind: 'put-worker',
      value: { id: `worker-${index}`, availabilityZone: 'ab'[index % 2] ?? 'a', rack: `rack-${index >> 1}`, capacity: { processors: 8, memoryMegabytes: 8_000, accelerators: index < 2 ? 2 : 0 } },
      expectedVersion: 0
    }))
  ]
}

interface TaskOptions {
  readonly processors?: number
  readonly accelerators?: number
  readonly isUrgent?: boolean
  readonly timeoutMilliseconds?: number
  readonly script?: { runMilliseconds?: number, alwaysFails?: boolean, usage?: { processors: number, memoryMegabytes: number, accelerators: number } }
}

function submitTasks (team: string, prefix: string, count: number, options: TaskOptions = {}): Command {
  const { processors = 1, accelerators = 0, isUrgent = false, timeoutMilliseconds = 600_000, script = {} } = options
  return {
    kind: 'submit-tasks',
    queue: 'jobs',
    team,
    tasks: Array.from({ length: count }, (_, index) => ({
      id: `${prefix}-${index}`, size: { processors, memoryMegabytes: 100, accelerators }, isUrgent, payload: JSON.stringify(script), timeoutMilliseconds
    }))
  }
}

async function startFleet (controls = 1, limit = 100): Promise<ControlFleet> {
  const fleet = new ControlFleet()
  await fleet.start(configuration(limit), controls, [])
  return fleet
}

function phases (fleet: ControlFleet, prefix: string): string[] {
  return [...fleet.state.tasks.values()].filter(({ id }) => id.startsWith(prefix)).map(({ phase }) => phase)
}

function areAllInPhase (fleet: ControlFleet, prefix: string, phase: string): boolean {
  return phases(fleet, prefix).every(current => current === phase)
}

function countRuns (fleet: ControlFleet, task: string): number {
  return [...fleet.workers.runs.values()].flat().filter(run => run.task === task).length
}

describe('tasks', () => {
  it('run once each within the workers\' capacity, and submitting them again changes nothing', async () => {
    const fleet = await startFleet()
    let peakRuns = 0
    await fleet.change(submitTasks('large', 'job', 100))
    await fleet.change(submitTasks('large', 'job', 100))
    await fleet.waitUntil(() => {
      for (const runs of fleet.workers.runs.values()) peakRuns = Math.max(peakRuns, runs.filter(run => run.state === 'running').length)
      return areAllInPhase(fleet, 'job', 'done')
    }, 'all done')
    for (let index = 0; index < 100; index++) expect(countRuns(fleet, `job-${index}`)).toBe(1)
    expect(peakRuns).toBeLessThanOrEqual(8)
  })

  it('of a team never exceed its upper limit, requests and tasks together', async () => {
    const fleet = await startFleet(1, 5)
    await fleet.change({ kind: 'join-member', value: { id: 'entry-x', incarnation: '1', role: 'entry', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: 'x', joinedAt: fleet.clock.now() } })
    await fleet.change({ kind: 'adjust-grants', holder: { member: 'entry-x', incarnation: '1' }, sequence: 1, changes: [{ team: 'large', units: 2 }] })
    let peakRuns = 0
    await fleet.change(submitTasks('large', 'job', 30))
    await fleet.waitUntil(() => {
      peakRuns = Math.max(peakRuns, [...fleet.workers.runs.values()].flat().filter(run => run.state === 'running').length)
      return areAllInPhase(fleet, 'job', 'done')
    }, 'all done')
    expect(peakRuns).toBe(3)
  })

  it('of two teams are placed on a full fleet in proportion to the teams\' shares', async () => {
    const fleet = await startFleet()
    await fleet.change(submitTasks('large', 'large', 200, { script: { runMilliseconds: 60_000 } }))
    await fleet.change(submitTasks('small', 'small', 200, { script: { runMilliseconds: 60_000 } }))
    await fleet.clock.advance(170_000)
    const runs = [...fleet.workers.runs.values()].flat()
    const lateRuns = runs.filter(run => run.startedAt > (runs[0]?.startedAt ?? 0) + 55_000)
    const largeRuns = lateRuns.filter(({ task }) => task.startsWith('large')).length
    expect(largeRuns / lateRuns.length).toBeGreaterThan(0.65)
    expect(largeRuns / lateRuns.length).toBeLessThan(0.85)
  })

  it('larger than any worker are parked with the reason and don\'t delay other tasks', async () => {
    const fleet = await startFleet()
    await fleet.change(submitTasks('large', 'huge', 2, { processors: 64 }))
    await fleet.change(submitTasks('large', 'job', 4))
    await fleet.waitUntil(() => areAllInPhase(fleet, 'job', 'done') && areAllInPhase(fleet, 'huge', 'parked'), 'parked and done')
    expect(fleet.state.tasks.get('huge-0')?.reason).toContain('more than any worker')
  })

  it('that fail on three workers are parked, and no worker is quarantined because of them', async () => {
    const fleet = await startFleet()
    await fleet.change(submitTasks('small', 'broken', 12, { script: { alwaysFails: true } }))
    await fleet.waitUntil(() => areAllInPhase(fleet, 'broken', 'parked'), 'parked')
    expect(fleet.state.tasks.get('broken-0')?.failedOn.length).toBe(3)
    expect([...fleet.state.workers.values()].some(worker => worker.isQuarantined)).toBe(false)
  })

  it('are moved off a worker on which every task fails; it is quarantined until an operator releases it', async () => {
    const fleet = await startFleet()
    fleet.workers.failingWorkers.add('worker-3')
    await fleet.change(submitTasks('large', 'job', 200, { script: { runMilliseconds: 500 } }))
    await fleet.waitUntil(() => areAllInPhase(fleet, 'job', 'done'), 'all done')
    const quarantined = [...fleet.state.workers.values()].filter(worker => worker.isQuarantined).map(({ value }) => value.id)
    expect(quarantined).toEqual(['worker-3'])
    const { version = 0 } = fleet.state.workers.get('worker-3') ?? {}
    expect(await fleet.change({ kind: 'release-worker', worker: 'worker-3', expectedVersion: version })).toBe(true)
    expect(fleet.state.workers.get('worker-3')?.isQuarantined).toBe(false)
  })

  it('are not started in a zone that is out', async () => {
    const fleet = await startFleet()
    expect(await fleet.change({ kind: 'set-availability-zone', availabilityZone: 'b', isOut: true, force: false, expectedVersion: 0 })).toBe(true)
    await fleet.change(submitTasks('large', 'job', 40))
    await fleet.waitUntil(() => areAllInPhase(fleet, 'job', 'done'), 'all done')
    expect([...fleet.workers.runs.keys()].filter(id => fleet.state.workers.get(id)?.value.availabilityZone === 'b')).toEqual([])
  })

  it('are placed by the usage of earlier similar tasks, once it is known, instead of the declared size', async () => {
    const fleet = await startFleet()
    const usage = { processors: 4, memoryMegabytes: 100, accelerators: 0 }
    await fleet.change(submitTasks('large', 'first', 30, { script: { runMilliseconds: 200, usage } }))
    await fleet.waitUntil(() => areAllInPhase(fleet, 'first', 'done'), 'usage known')
    let peakRuns = 0
    await fleet.change(submitTasks('large', 'second', 60, { script: { runMilliseconds: 2_000, usage } }))
    await fleet.waitUntil(() => {
      for (const runs of fleet.workers.runs.values()) peakRuns = Math.max(peakRuns, runs.filter(run => run.state === 'running').length)
      return areAllInPhase(fleet, 'second', 'done')
    }, 'all done')
    expect(peakRuns).toBeLessThanOrEqual(2)
  })
})

describe('urgent tasks', () => {
  it('start within the target time on a full fleet by stopping other runs; the stopped tasks run again later', async () => {
    const fleet = await startFleet()
    await fleet.change(submitTasks('small', 'long', 100, { script: { runMilliseconds: 120_000 } }))
    await fleet.clock.advance(30_000)
    const submittedAt = fleet.clock.now()
    await fleet.change(submitTasks('large', 'urgent', 2, { processors: 4, accelerators: 1, isUrgent: true }))
    await fleet.waitUntil(() => phases(fleet, 'urgent').every(phase => phase === 'running' || phase === 'done'), 'started')
    const starts = [...fleet.workers.runs.values()].flat().filter(run => run.task.startsWith('urgent')).map(run => run.startedAt - submittedAt)
    // Required time in which urgent tasks start, in milliseconds.
    expect(Math.max(...starts)).toBeLessThanOrEqual(5_200)
    await fleet.waitUntil(() => areAllInPhase(fleet, 'long', 'done'), 'stopped tasks done')
    expect(fleet.workers.overlappingTasks()).toEqual([])
  })
})

describe('cancellation', () => {
  it('of many tasks is one record; waiting tasks never run, and running ones are stopped', async () => {
    const fleet = await startFleet()
    await fleet.change(submitTasks('large', 'job', 300, { script: { runMilliseconds: 600_000 } }))
    await fleet.clock.advance(5_000)
    const before = fleet.log.nextOffset
    const ids = [...fleet.state.tasks.keys()]
    await fleet.change({ kind: 'cancel-tasks', queue: 'jobs', team: 'large', ids })
    expect(fleet.log.records.filter(({ offset, record }) => offset >= before && JSON.stringify(record).includes('cancel-tasks')).length).toBe(1)
    await fleet.waitUntil(() => areAllInPhase(fleet, 'job', 'cancelled'), 'cancelled')
    const runs = [...fleet.workers.runs.values()].flat()
    expect(runs.every(run => run.state !== 'running')).toBe(true)
    expect(runs.length).toBeLessThanOrEqual(48)
  })

  it('of another team\'s tasks changes nothing', async () => {
    const fleet = await startFleet()
    await fleet.change(submitTasks('large', 'job', 1))
    await fleet.change({ kind: 'cancel-tasks', queue: 'jobs', team: 'small', ids: ['job-0'] })
    await fleet.waitUntil(() => areAllInPhase(fleet, 'job', 'done'), 'done')
  })
})

describe('the holder of the placement lease', () => {
  it('that crashes is replaced by another, and no task has two runs at once', async () => {
    const fleet = await startFleet(2)
    await fleet.change(submitTasks('large', 'job', 150, { script: { runMilliseconds: 3_000 } }))
    await fleet.waitUntil(() => [...fleet.workers.runs.values()].flat().length > 20, 'some tasks started')
    const firstHolder = fleet.state.leases.get('placement')?.holder.member
    fleet.controls.filter(control => control.name === firstHolder).forEach(control => control.kill())
    fleet.controls.splice(0, fleet.controls.length, ...fleet.controls.filter(control => control.name !== firstHolder))
    await fleet.waitUntil(() => areAllInPhase(fleet, 'job', 'done'), 'all done')
    expect(fleet.workers.overlappingTasks()).toEqual([])
  })

  it('that was paused starts nothing under an expired lease, because the worker refuses its late order', async () => {
    const fleet = await startFleet()
    await fleet.change(submitTasks('large', 'job', 1, { timeoutMilliseconds: 2_000, script: { runMilliseconds: 500 } }))
    await fleet.waitUntil(() => areAllInPhase(fleet, 'job', 'done'), 'done')
    const [run] = [...fleet.workers.runs.values()].flat()
    // The paused holder's order arrives after its lease has expired.
    for (const worker of fleet.state.workers.keys()) fleet.workers.start(worker, { task: 'job-0', token: run?.token ?? 0, leaseDeadline: fleet.clock.now() - 1, payload: '' })
    expect(countRuns(fleet, 'job-0')).toBe(1)
  })

  it('tolerates lost responses, late reports and a platform that is down, and no task has two runs at once', async () => {
    const fleet = await startFleet()
    fleet.workers.reportLagMilliseconds = 2_000
    fleet.workerControl.losesResponses = true
    await fleet.change(submitTasks('large', 'job', 100))
    await fleet.clock.advance(5_000)
    fleet.workerControl.isDown = true
    await fleet.clock.advance(10_000)
    fleet.workerControl.isDown = false
    await fleet.waitUntil(() => areAllInPhase(fleet, 'job', 'done'), 'all done')
    expect(fleet.workers.overlappingTasks()).toEqual([])
    for (let index = 0; index < 100; index++) expect(countRuns(fleet, `job-${index}`)).toBe(1)
  })
})
