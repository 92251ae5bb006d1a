/**
 * Moves, waves and presets through faults of platform, VMs and control processes.
 */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { DrainEvaluator } from '../src/control/drain-evaluator.js'
import { FewestMovesPlanner } from '../src/control/fewest-moves-planner.js'
import type { Command } from '../src/schemas/command.js'
import { Pool } from '../src/schemas/pool.js'
import { Queue } from '../src/schemas/queue.js'
import { ControlFleet } from './support/control-fleet.js'
import { LogAuthor } from './support/log-author.js'
import { smallFleet } from './support/small-fleet.js'

const SEED = 20261204

/** Pools of four VMs each over zones a and b, with a budget of two, and a spare pool. */
function configuration (): Command[] {
  const commands: Command[] = []
  for (const name of ['one', 'two', 'spare']) {
    commands.push({ kind: 'put-pool', value: Pool.parse({ name, minimumServing: name === 'spare' ? 0 : 2, isSpare: name === 'spare', slowStartMilliseconds: 0 }), expectedVersion: 0 })
  }
  for (const pool of ['one', 'two', 'spare']) {
    for (let index = 0; index < 4; index++) {
      const port = 10_000 + commands.length
      commands.push({ kind: 'put-virtual-machine', value: { id: `${pool}-${index}`, pool, availabilityZone: 'ab'[index % 2] ?? 'a', rack: `rack-${index}`, address: { host: '127.0.0.1', port } }, expectedVersion: 0 })
    }
  }
  commands.push({ kind: 'put-queue', value: Queue.parse({ name: 'work', pool: 'one', defaultTimeoutMilliseconds: 1_000, maximumTimeoutMilliseconds: 2_000 }), expectedVersion: 0 })
  return commands
}

async function started (controls = 1): Promise<ControlFleet> {
  const fleet = new ControlFleet()
  await fleet.start(configuration(), controls)
  return fleet
}

function wave (fleet: ControlFleet, name = 'kernel', maximumAtOnce = 10): Command {
  return { kind: 'start-wave', name, order: [...fleet.state.virtualMachines.keys()].filter(id => !id.startsWith('spare')), maximumAtOnce }
}

/** Watches, at every offset that the first control process sees, that planned work keeps the budgets. */
function watchBudgets (fleet: ControlFleet): { worst: number } {
  const seen = { worst: Infinity }
  const look = async (): Promise<void> => {
    for (;;) {
      for (const pool of ['one', 'two']) seen.worst = Math.min(seen.worst, fleet.state.servingVirtualMachines(pool).length)
      await fleet.clock.sleepUntil(fleet.clock.now() + 50)
    }
  }
  void look()
  return seen
}

function rebootsOf (fleet: ControlFleet): number[] {
  return [...fleet.platform.machines].filter(([id]) => !id.startsWith('spare')).map(([, machine]) => machine.reboots)
}

describe('a maintenance wave', () => {
  it('reboots every VM once and keeps the budgets', async () => {
    const fleet = await started()
    const seen = watchBudgets(fleet)
    expect(await fleet.change(wave(fleet))).toBe(true)
    await fleet.until(() => fleet.state.waves.get('kernel')?.phase === 'finished', 'finished')
    expect(new Set(rebootsOf(fleet))).toEqual(new Set([1]))
    expect(seen.worst).toBe(2)
  })

  it('is carried on by another control process at each step, and nothing is rebooted twice', async () => {
    for (const step of ['draining', 'rebooting', 'between'] as const) {
      const fleet = await started(2)
      fleet.platform.rebootMilliseconds = 5_000
      if (step === 'draining') fleet.busy.add('one-0')
      const holder = (): string | undefined => fleet.state.leases.get('operations')?.holder.member
      await fleet.change(wave(fleet))
      const phaseOf = (id: string) => fleet.state.virtualMachines.get(id)?.phase
      if (step === 'draining') await fleet.until(() => phaseOf('one-0') === 'draining', step)
      if (step === 'rebooting') await fleet.until(() => [...fleet.state.virtualMachines.keys()].some(id => phaseOf(id) === 'rebooting'), step)
      if (step === 'between') await fleet.until(() => (fleet.state.waves.get('kernel')?.done.length ?? 0) >= 2, step)
      const first = holder()
      const survivors = fleet.controls.filter(control => control.name !== first)
      fleet.controls.filter(control => control.name === first).forEach(control => control.kill())
      fleet.controls.splice(0, fleet.controls.length, ...survivors)
      fleet.busy.clear()
      await fleet.until(() => fleet.state.waves.get('kernel')?.phase === 'finished', `finished after ${step}`)
      expect(new Set(rebootsOf(fleet))).toEqual(new Set([1]))
      expect(holder()).not.toBe(first)
    }
  })

  it('goes through a platform that loses its answers, and waits for one that is down', async () => {
    const fleet = await started()
    fleet.platform.losesAnswers = true
    await fleet.change(wave(fleet))
    await fleet.clock.advance(10_000)
    fleet.platform.losesAnswers = false
    fleet.platform.isDown = true
    await fleet.clock.advance(10_000)
    const done = fleet.state.waves.get('kernel')?.done.length
    await fleet.clock.advance(10_000)
    expect(fleet.state.waves.get('kernel')?.done.length).toBe(done)
    fleet.platform.isDown = false
    await fleet.until(() => fleet.state.waves.get('kernel')?.phase === 'finished', 'finished')
    expect(new Set(rebootsOf(fleet))).toEqual(new Set([1]))
  })

  it('pauses itself when a VM never drains, says which, and goes on when resumed', async () => {
    const fleet = await started()
    fleet.busy.add('one-0')
    await fleet.change(wave(fleet))
    await fleet.until(() => fleet.state.waves.get('kernel')?.phase === 'paused', 'paused')
    expect(fleet.state.waves.get('kernel')?.reason).toContain('one-0 is draining')
    fleet.busy.clear()
    await fleet.clock.advance(20_000)
    const { version = 0 } = fleet.state.waves.get('kernel') ?? {}
    expect(await fleet.change({ kind: 'set-wave-phase', name: 'kernel', phase: 'running', reason: '', expectedVersion: version, proof: null })).toBe(true)
    await fleet.until(() => fleet.state.waves.get('kernel')?.phase === 'finished', 'finished')
  })

  it('pauses itself when a VM never comes back', async () => {
    const fleet = await started()
    fleet.platform.lost.add('one-0')
    await fleet.change(wave(fleet))
    await fleet.until(() => fleet.state.waves.get('kernel')?.phase === 'paused', 'paused')
    expect(fleet.state.waves.get('kernel')?.reason).toContain('one-0 is rebooting')
  })

  it('stops itself when failures in its midst break a budget, and says so', async () => {
    const fleet = await started()
    fleet.platform.rebootMilliseconds = 10_000
    await fleet.change(wave(fleet, 'kernel', 2))
    await fleet.until(() => [...fleet.state.virtualMachines.values()].some(machine => machine.phase === 'rebooting'), 'under way')
    const token = fleet.state.leases.get('operations')?.token ?? 0
    for (const id of ['one-1', 'one-2', 'one-3']) await fleet.change({ kind: 'set-absence', virtualMachine: id, isAbsent: true, proof: { lease: 'operations', token } })
    await fleet.until(() => fleet.state.waves.get('kernel')?.phase === 'paused', 'paused')
    expect(fleet.state.waves.get('kernel')?.reason).toContain('pool one')
  })

  it('starts nothing more when aborted, and carries what is under way to its end', async () => {
    const fleet = await started()
    fleet.platform.rebootMilliseconds = 5_000
    await fleet.change(wave(fleet, 'kernel', 1))
    await fleet.until(() => [...fleet.state.virtualMachines.values()].some(machine => machine.phase === 'rebooting'), 'under way')
    const { version = 0 } = fleet.state.waves.get('kernel') ?? {}
    await fleet.change({ kind: 'set-wave-phase', name: 'kernel', phase: 'aborted', reason: '', expectedVersion: version, proof: null })
    await fleet.until(() => [...fleet.state.virtualMachines.values()].every(machine => !machine.operation), 'all at rest')
    await fleet.clock.advance(30_000)
    expect(rebootsOf(fleet).reduce((sum, count) => sum + count, 0)).toBe(1)
  })
})

describe('a preset switch', () => {
  const preset = (name: string, one: number, two: number, spare: number): Command => ({
    kind: 'put-preset', value: { name, pools: [{ pool: 'one', size: one }, { pool: 'two', size: two }, { pool: 'spare', size: spare }], teams: [] }, expectedVersion: 0
  })
  const activate = (fleet: ControlFleet, name: string): Command => ({ kind: 'activate-preset', preset: name, expectedVersion: fleet.state.presetInForce?.version ?? 0 })
  const sizes = (fleet: ControlFleet) => ['one', 'two', 'spare'].map(pool => fleet.state.servingVirtualMachines(pool).length)
  const moves = (fleet: ControlFleet) => [...fleet.platform.machines.values()].reduce((sum, machine) => sum + machine.reboots, 0)

  it('takes the fewest moves', async () => {
    const fleet = await started()
    await fleet.change(preset('peak', 6, 4, 2))
    await fleet.change(activate(fleet, 'peak'))
    await fleet.until(() => String(sizes(fleet)) === '6,4,2', 'sizes')
    expect(moves(fleet)).toBe(2)
  })

  it('back to back ends in the sizes of the last one, with drains that are no longer wanted taken back', async () => {
    const fleet = await started()
    for (const id of fleet.state.virtualMachines.keys()) fleet.busy.add(id)
    await fleet.change(preset('peak', 6, 4, 2))
    await fleet.change(preset('ordinary', 4, 4, 4))
    await fleet.change(activate(fleet, 'peak'))
    await fleet.clock.advance(2_000)
    await fleet.change(activate(fleet, 'ordinary'))
    await fleet.clock.advance(2_000)
    fleet.busy.clear()
    await fleet.until(() => String(sizes(fleet)) === '4,4,4', 'sizes')
    expect(moves(fleet)).toBe(0)
  })

  it('in the midst of a wave: both come to their end within the budgets', async () => {
    const fleet = await started()
    const seen = watchBudgets(fleet)
    await fleet.change(preset('peak', 5, 5, 2))
    await fleet.change(wave(fleet, 'kernel', 2))
    await fleet.change(activate(fleet, 'peak'))
    await fleet.until(() => fleet.state.waves.get('kernel')?.phase === 'finished' && String(sizes(fleet)) === '5,5,2', 'both')
    expect(seen.worst).toBeGreaterThanOrEqual(2)
  })
})

describe('FewestMovesPlanner', () => {
  it('moves exactly as many VMs as are missing, and never takes from a pool at its size', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 8 }), fc.integer({ min: 0, max: 8 }), (one, two) => {
      const log = new LogAuthor()
      smallFleet(log)
      const pools = [{ pool: 'one', size: one, minimumServing: 0 }, { pool: 'two', size: two, minimumServing: 0 }]
      const put = log.decide({ kind: 'put-preset', value: { name: 'p', pools, teams: [] }, expectedVersion: 0 })
      if (!put?.isAccepted || !log.decide({ kind: 'activate-preset', preset: 'p', expectedVersion: 0 })?.isAccepted) return
      const moves = new FewestMovesPlanner().plan(log.state)
      const missing = Math.max(0, one - 4) + Math.max(0, two - 4)
      expect(moves.length).toBe(missing)
      const left = new Map([['one', 4], ['two', 4]])
      for (const { fromPool, toPool } of moves) {
        left.set(fromPool, (left.get(fromPool) ?? 0) - 1)
        left.set(toPool, (left.get(toPool) ?? 0) + 1)
      }
      expect(left.get('one')).toBeGreaterThanOrEqual(Math.min(one, 4))
      expect(left.get('two')).toBeGreaterThanOrEqual(Math.min(two, 4))
    }), { seed: SEED, numRuns: 81 })
  })
})

describe('DrainJudgement', () => {
  function judged (zone: string, heard: { offset?: number, isBusy?: boolean, silentFor?: number }): string[] {
    const log = new LogAuthor()
    smallFleet(log)
    log.join('entry', 'entry-a')
    const machine = [...log.state.virtualMachines.values()].find(({ value }) => value.availabilityZone === zone)
    if (!machine) throw new Error('no VM')
    const now = log.time + 3_600_000
    const status = heard.offset === undefined
      ? undefined
      : { member: 'entry-a', incarnation: 'entry-a-1', sequence: 1, offset: heard.offset, freshAt: 0, reachesLog: true, ...(heard.isBusy ? { busyVirtualMachines: [machine.value.id] } : {}) }
    return new DrainEvaluator().blockers(log.state, machine, () => ({ latestStatus: status, lastContactAt: now - (heard.silentFor ?? 0) }), now)
  }

  it('takes a process\'s own word, and no older one', () => {
    expect(judged('b', { offset: 1_000 })).toEqual([])
    expect(judged('b', { offset: 1_000, isBusy: true })).toEqual(['entry-a'])
    expect(judged('b', { offset: 0 })).toEqual(['entry-a'])
  })

  it('counts a silent process as confirmed for other zones once it must have stopped, and never for its own', () => {
    expect(judged('b', { offset: 0, silentFor: 3_600_000 })).toEqual([])
    expect(judged('b', { offset: 0, silentFor: 6_000 })).toEqual(['entry-a'])
    expect(judged('a', { offset: 0, silentFor: 3_600_000 })).toEqual(['entry-a'])
  })
})
