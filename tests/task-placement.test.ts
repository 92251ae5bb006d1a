/**
 * Tasks on workers: placement, leases, failures, urgency, cancellation.
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

function tasks (team: string, prefix: string, count: number, options: TaskOptions = {}): Command {
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

async function started (controls = 1, limit = 100): Promise<ControlFleet> {
  const fleet = new ControlFleet()
  await fleet.start(configuration(limit), controls, [])
  return fleet
}

function phases (fleet: ControlFleet, prefix: string): string[] {
  return [...fleet.state.tasks.values()].filter(({ id }) => id.startsWith(prefix)).map(({ phase }) => phase)
}

function allAre (fleet: ControlFleet, prefix: string, phase: string): boolean {
  return phases(fleet, prefix).every(present => present === phase)
}

function countRuns (fleet: ControlFleet, task: string): number {
  return [...fleet.workers.runs.values()].flat().filter(run => run.task === task).length
}

describe('tasks', () => {
  it('run once each, within what the workers have, and submitting them again changes nothing', async () => {
    const fleet = await started()
    let peak = 0
    await fleet.change(tasks('large', 'job', 100))
    await fleet.change(tasks('large', 'job', 100))
    await fleet.until(() => {
      for (const runs of fleet.workers.runs.values()) peak = Math.max(peak, runs.filter(run => run.state === 'running').length)
      return allAre(fleet, 'job', 'done')
    }, 'all done')
    for (let index = 0; index < 100; index++) expect(countRuns(fleet, `job-${index}`)).toBe(1)
    expect(peak).toBeLessThanOrEqual(8)
  })

  it('of a team never run above its upper limit, requests and tasks together', async () => {
    const fleet = await started(1, 5)
    await fleet.change({ kind: 'join-member', value: { id: 'entry-x', incarnation: '1', role: 'entry', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: 'x', joinedAt: fleet.clock.now() } })
    await fleet.change({ kind: 'adjust-grants', holder: { member: 'entry-x', incarnation: '1' }, sequence: 1, changes: [{ team: 'large', units: 2 }] })
    let peak = 0
    await fleet.change(tasks('large', 'job', 30))
    await fleet.until(() => {
      peak = Math.max(peak, [...fleet.workers.runs.values()].flat().filter(run => run.state === 'running').length)
      return allAre(fleet, 'job', 'done')
    }, 'all done')
    expect(peak).toBe(3)
  })

  it('share a full fleet by the teams\' shares', async () => {
    const fleet = await started()
    await fleet.change(tasks('large', 'large', 200, { script: { runMilliseconds: 60_000 } }))
    await fleet.change(tasks('small', 'small', 200, { script: { runMilliseconds: 60_000 } }))
    await fleet.clock.advance(170_000)
    const runs = [...fleet.workers.runs.values()].flat()
    const late = runs.filter(run => run.startedAt > (runs[0]?.startedAt ?? 0) + 55_000)
    const large = late.filter(({ task }) => task.startsWith('large')).length
    expect(large / late.length).toBeGreaterThan(0.65)
    expect(large / late.length).toBeLessThan(0.85)
  })

  it('larger than any worker are parked with the reason and hold nobody up', async () => {
    const fleet = await started()
    await fleet.change(tasks('large', 'huge', 2, { processors: 64 }))
    await fleet.change(tasks('large', 'job', 4))
    await fleet.until(() => allAre(fleet, 'job', 'done') && allAre(fleet, 'huge', 'parked'), 'parked and done')
    expect(fleet.state.tasks.get('huge-0')?.reason).toContain('more than any worker')
  })

  it('that fail on three workers are parked, and no worker is blamed for them', async () => {
    const fleet = await started()
    await fleet.change(tasks('small', 'broken', 12, { script: { alwaysFails: true } }))
    await fleet.until(() => allAre(fleet, 'broken', 'parked'), 'parked')
    expect(fleet.state.tasks.get('broken-0')?.failedOn.length).toBe(3)
    expect([...fleet.state.workers.values()].some(worker => worker.isQuarantined)).toBe(false)
  })

  it('are taken from a worker that fails everything, which is quarantined until an operator releases it', async () => {
    const fleet = await started()
    fleet.workers.failingWorkers.add('worker-3')
    await fleet.change(tasks('large', 'job', 200, { script: { runMilliseconds: 500 } }))
    await fleet.until(() => allAre(fleet, 'job', 'done'), 'all done')
    const quarantined = [...fleet.state.workers.values()].filter(worker => worker.isQuarantined).map(({ value }) => value.id)
    expect(quarantined).toEqual(['worker-3'])
    const { version = 0 } = fleet.state.workers.get('worker-3') ?? {}
    expect(await fleet.change({ kind: 'release-worker', worker: 'worker-3', expectedVersion: version })).toBe(true)
    expect(fleet.state.workers.get('worker-3')?.isQuarantined).toBe(false)
  })

  it('start nowhere in a zone that is out', async () => {
    const fleet = await started()
    expect(await fleet.change({ kind: 'set-availability-zone', availabilityZone: 'b', isOut: true, force: false, expectedVersion: 0 })).toBe(true)
    await fleet.change(tasks('large', 'job', 40))
    await fleet.until(() => allAre(fleet, 'job', 'done'), 'all done')
    expect([...fleet.workers.runs.keys()].filter(id => fleet.state.workers.get(id)?.value.availabilityZone === 'b')).toEqual([])
  })

  it('are placed by what such tasks use, once that is known, whatever they declare', async () => {
    const fleet = await started()
    const usage = { processors: 4, memoryMegabytes: 100, accelerators: 0 }
    await fleet.change(tasks('large', 'first', 30, { script: { runMilliseconds: 200, usage } }))
    await fleet.until(() => allAre(fleet, 'first', 'done'), 'learned')
    let peak = 0
    await fleet.change(tasks('large', 'second', 60, { script: { runMilliseconds: 2_000, usage } }))
    await fleet.until(() => {
      for (const runs of fleet.workers.runs.values()) peak = Math.max(peak, runs.filter(run => run.state === 'running').length)
      return allAre(fleet, 'second', 'done')
    }, 'all done')
    expect(peak).toBeLessThanOrEqual(2)
  })
})

describe('urgent tasks', () => {
  it('start within the time aimed for on a full fleet by stopping the least costly runs, which run again later', async () => {
    const fleet = await started()
    await fleet.change(tasks('small', 'long', 100, { script: { runMilliseconds: 120_000 } }))
    await fleet.clock.advance(30_000)
    const submittedAt = fleet.clock.now()
    await fleet.change(tasks('large', 'urgent', 2, { processors: 4, accelerators: 1, isUrgent: true }))
    await fleet.until(() => phases(fleet, 'urgent').every(phase => phase === 'running' || phase === 'done'), 'started')
    const starts = [...fleet.workers.runs.values()].flat().filter(run => run.task.startsWith('urgent')).map(run => run.startedAt - submittedAt)
    // The target of the users' letter.
    expect(Math.max(...starts)).toBeLessThanOrEqual(5_200)
    await fleet.until(() => allAre(fleet, 'long', 'done'), 'the stopped ones too')
    expect(fleet.workers.overlappingTasks()).toEqual([])
  })
})

describe('cancellation', () => {
  it('of a wave is one record; what waits never runs, and what runs is stopped', async () => {
    const fleet = await started()
    await fleet.change(tasks('large', 'job', 300, { script: { runMilliseconds: 600_000 } }))
    await fleet.clock.advance(5_000)
    const before = fleet.log.nextOffset
    const ids = [...fleet.state.tasks.keys()]
    await fleet.change({ kind: 'cancel-tasks', queue: 'jobs', team: 'large', ids })
    expect(fleet.log.records.filter(({ offset, record }) => offset >= before && JSON.stringify(record).includes('cancel-tasks')).length).toBe(1)
    await fleet.until(() => allAre(fleet, 'job', 'cancelled'), 'cancelled')
    const runs = [...fleet.workers.runs.values()].flat()
    expect(runs.every(run => run.state !== 'running')).toBe(true)
    expect(runs.length).toBeLessThanOrEqual(48)
  })

  it('of another team\'s tasks changes nothing', async () => {
    const fleet = await started()
    await fleet.change(tasks('large', 'job', 1))
    await fleet.change({ kind: 'cancel-tasks', queue: 'jobs', team: 'small', ids: ['job-0'] })
    await fleet.until(() => allAre(fleet, 'job', 'done'), 'done')
  })
})

describe('the holder of placement', () => {
  it('that dies is followed by another, and no task runs twice at once', async () => {
    const fleet = await started(2)
    await fleet.change(tasks('large', 'job', 150, { script: { runMilliseconds: 3_000 } }))
    await fleet.until(() => [...fleet.workers.runs.values()].flat().length > 20, 'some run')
    const first = fleet.state.leases.get('placement')?.holder.member
    fleet.controls.filter(control => control.name === first).forEach(control => control.kill())
    fleet.controls.splice(0, fleet.controls.length, ...fleet.controls.filter(control => control.name !== first))
    await fleet.until(() => allAre(fleet, 'job', 'done'), 'all done')
    expect(fleet.workers.overlappingTasks()).toEqual([])
  })

  it('that was paused starts nothing under a lapsed lease: the worker refuses, and the task runs under its new token', async () => {
    const fleet = await started()
    await fleet.change(tasks('large', 'job', 1, { timeoutMilliseconds: 2_000, script: { runMilliseconds: 500 } }))
    await fleet.until(() => allAre(fleet, 'job', 'done'), 'done')
    const [run] = [...fleet.workers.runs.values()].flat()
    // The paused holder's order arrives after the end of its lease.
    for (const worker of fleet.state.workers.keys()) fleet.workers.start(worker, { task: 'job-0', token: run?.token ?? 0, leaseDeadline: fleet.clock.now() - 1, payload: '' })
    expect(countRuns(fleet, 'job-0')).toBe(1)
  })

  it('gets through lost answers, late reports and a platform that is down, and nothing runs twice at once', async () => {
    const fleet = await started()
    fleet.workers.reportLagMilliseconds = 2_000
    fleet.workerControl.losesAnswers = true
    await fleet.change(tasks('large', 'job', 100))
    await fleet.clock.advance(5_000)
    fleet.workerControl.isDown = true
    await fleet.clock.advance(10_000)
    fleet.workerControl.isDown = false
    await fleet.until(() => allAre(fleet, 'job', 'done'), 'all done')
    expect(fleet.workers.overlappingTasks()).toEqual([])
    for (let index = 0; index < 100; index++) expect(countRuns(fleet, `job-${index}`)).toBe(1)
  })
})
