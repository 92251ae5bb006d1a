/**
 * Tests of moves, maintenance waves and preset switches while the platform loses responses or is down, VMs fail, and
 * control processes crash.
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
import { configureSmallFleet } from './support/configure-small-fleet.js'

const SEED = 20261204

/** Two pools with a budget of two and a spare pool, each with four VMs over zones a and b. */
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

async function startFleet (controls = 1): Promise<ControlFleet> {
  const fleet = new ControlFleet()
  await fleet.start(configuration(), controls)
  return fleet
}

function startWave (fleet: ControlFleet, name = 'kernel', maximumAtOnce = 10): Command {
  return { kind: 'start-wave', name, order: [...fleet.state.virtualMachines.keys()].filter(id => !id.startsWith('spare')), maximumAtOnce }
}

/** Polls the first control process's state every 50 ms of simulated time, and records the fewest serving VMs of a pool. */
function watchBudgets (fleet: ControlFleet): { fewestServing: number } {
  const observed = { fewestServing: Infinity }
  const poll = async (): Promise<void> => {
    for (;;) {
      for (const pool of ['one', 'two']) observed.fewestServing = Math.min(observed.fewestServing, fleet.state.servingVirtualMachines(pool).length)
      await fleet.clock.sleepUntil(fleet.clock.now() + 50)
    }
  }
  void poll()
  return observed
}

function rebootCounts (fleet: ControlFleet): number[] {
  return [...fleet.platform.virtualMachinesById].filter(([id]) => !id.startsWith('spare')).map(([, simulatedVirtualMachine]) => simulatedVirtualMachine.rebootCount)
}

describe('a maintenance wave', () => {
  it('reboots every VM once and keeps the budgets', async () => {
    const fleet = await startFleet()
    const observed = watchBudgets(fleet)
    expect(await fleet.change(startWave(fleet))).toBe(true)
    await fleet.waitUntil(() => fleet.state.waves.get('kernel')?.phase === 'finished', 'finished')
    expect(new Set(rebootCounts(fleet))).toEqual(new Set([1]))
    expect(observed.fewestServing).toBe(2)
  })

  it('is continued by another control process after a crash at each step, and no VM is rebooted twice', async () => {
    for (const step of ['draining', 'rebooting', 'between'] as const) {
      const fleet = await startFleet(2)
      fleet.platform.rebootMilliseconds = 5_000
      if (step === 'draining') fleet.busy.add('one-0')
      const leaseHolder = (): string | undefined => fleet.state.leases.get('operations')?.holder.member
      await fleet.change(startWave(fleet))
      const phaseOf = (id: string) => fleet.state.virtualMachines.get(id)?.phase
      if (step === 'draining') await fleet.waitUntil(() => phaseOf('one-0') === 'draining', step)
      if (step === 'rebooting') await fleet.waitUntil(() => [...fleet.state.virtualMachines.keys()].some(id => phaseOf(id) === 'rebooting'), step)
      if (step === 'between') await fleet.waitUntil(() => (fleet.state.waves.get('kernel')?.done.length ?? 0) >= 2, step)
      const firstHolder = leaseHolder()
      const survivors = fleet.controls.filter(control => control.name !== firstHolder)
      fleet.controls.filter(control => control.name === firstHolder).forEach(control => control.kill())
      fleet.controls.splice(0, fleet.controls.length, ...survivors)
      fleet.busy.clear()
      await fleet.waitUntil(() => fleet.state.waves.get('kernel')?.phase === 'finished', `finished after ${step}`)
      expect(new Set(rebootCounts(fleet))).toEqual(new Set([1]))
      expect(leaseHolder()).not.toBe(firstHolder)
    }
  })

  it('tolerates a platform that loses responses, and waits for one that is down', async () => {
    const fleet = await startFleet()
    fleet.platform.losesResponses = true
    await fleet.change(startWave(fleet))
    await fleet.clock.advance(10_000)
    fleet.platform.losesResponses = false
    fleet.platform.isDown = true
    await fleet.clock.advance(10_000)
    const done = fleet.state.waves.get('kernel')?.done.length
    await fleet.clock.advance(10_000)
    expect(fleet.state.waves.get('kernel')?.done.length).toBe(done)
    fleet.platform.isDown = false
    await fleet.waitUntil(() => fleet.state.waves.get('kernel')?.phase === 'finished', 'finished')
    expect(new Set(rebootCounts(fleet))).toEqual(new Set([1]))
  })

  it('pauses itself when a VM never drains, names the VM, and continues when resumed', async () => {
    const fleet = await startFleet()
    fleet.busy.add('one-0')
    await fleet.change(startWave(fleet))
    await fleet.waitUntil(() => fleet.state.waves.get('kernel')?.phase === 'paused', 'paused')
    expect(fleet.state.waves.get('kernel')?.reason).toContain('one-0 is draining')
    fleet.busy.clear()
    await fleet.clock.advance(20_000)
    const { version = 0 } = fleet.state.waves.get('kernel') ?? {}
    expect(await fleet.change({ kind: 'set-wave-phase', name: 'kernel', phase: 'running', reason: '', expectedVersion: version, proof: null })).toBe(true)
    await fleet.waitUntil(() => fleet.state.waves.get('kernel')?.phase === 'finished', 'finished')
  })

  it('pauses itself when a VM never returns from its reboot', async () => {
    const fleet = await startFleet()
    fleet.platform.stuckVirtualMachines.add('one-0')
    await fleet.change(startWave(fleet))
    await fleet.waitUntil(() => fleet.state.waves.get('kernel')?.phase === 'paused', 'paused')
    expect(fleet.state.waves.get('kernel')?.reason).toContain('one-0 is rebooting')
  })

  it('pauses itself when failures during the wave break a budget, and names the pool', async () => {
    const fleet = await startFleet()
    fleet.platform.rebootMilliseconds = 10_000
    await fleet.change(startWave(fleet, 'kernel', 2))
    await fleet.waitUntil(() => [...fleet.state.virtualMachines.values()].some(virtualMachineState => virtualMachineState.phase === 'rebooting'), 'rebooting')
    const token = fleet.state.leases.get('operations')?.token ?? 0
    for (const id of ['one-1', 'one-2', 'one-3']) await fleet.change({ kind: 'set-absence', virtualMachine: id, isAbsent: true, proof: { lease: 'operations', token } })
    await fleet.waitUntil(() => fleet.state.waves.get('kernel')?.phase === 'paused', 'paused')
    expect(fleet.state.waves.get('kernel')?.reason).toContain('pool one')
  })

  it('starts no more operations when aborted, and completes those that have started', async () => {
    const fleet = await startFleet()
    fleet.platform.rebootMilliseconds = 5_000
    await fleet.change(startWave(fleet, 'kernel', 1))
    await fleet.waitUntil(() => [...fleet.state.virtualMachines.values()].some(virtualMachineState => virtualMachineState.phase === 'rebooting'), 'rebooting')
    const { version = 0 } = fleet.state.waves.get('kernel') ?? {}
    await fleet.change({ kind: 'set-wave-phase', name: 'kernel', phase: 'aborted', reason: '', expectedVersion: version, proof: null })
    await fleet.waitUntil(() => [...fleet.state.virtualMachines.values()].every(virtualMachineState => !virtualMachineState.operation), 'no operations left')
    await fleet.clock.advance(30_000)
    expect(rebootCounts(fleet).reduce((sum, count) => sum + count, 0)).toBe(1)
  })
})

describe('a preset switch', () => {
  const preset = (name: string, one: number, two: number, spare: number): Command => ({
    kind: 'put-preset', value: { name, pools: [{ pool: 'one', size: one }, { pool: 'two', size: two }, { pool: 'spare', size: spare }], teams: [] }, expectedVersion: 0
  })
  const activate = (fleet: ControlFleet, name: string): Command => ({ kind: 'activate-preset', preset: name, expectedVersion: fleet.state.presetInForce?.version ?? 0 })
  const sizes = (fleet: ControlFleet) => ['one', 'two', 'spare'].map(pool => fleet.state.servingVirtualMachines(pool).length)
  const countMoves = (fleet: ControlFleet) => [...fleet.platform.virtualMachinesById.values()].reduce((sum, simulatedVirtualMachine) => sum + simulatedVirtualMachine.rebootCount, 0)

  it('takes the fewest moves', async () => {
    const fleet = await startFleet()
    await fleet.change(preset('peak', 6, 4, 2))
    await fleet.change(activate(fleet, 'peak'))
    await fleet.waitUntil(() => String(sizes(fleet)) === '6,4,2', 'sizes')
    expect(countMoves(fleet)).toBe(2)
  })

  it('directly followed by another ends with the sizes of the last one, and unneeded drains are cancelled', async () => {
    const fleet = await startFleet()
    for (const id of fleet.state.virtualMachines.keys()) fleet.busy.add(id)
    await fleet.change(preset('peak', 6, 4, 2))
    await fleet.change(preset('ordinary', 4, 4, 4))
    await fleet.change(activate(fleet, 'peak'))
    await fleet.clock.advance(2_000)
    await fleet.change(activate(fleet, 'ordinary'))
    await fleet.clock.advance(2_000)
    fleet.busy.clear()
    await fleet.waitUntil(() => String(sizes(fleet)) === '4,4,4', 'sizes')
    expect(countMoves(fleet)).toBe(0)
  })

  it('and a wave at the same time both finish and keep the budgets', async () => {
    const fleet = await startFleet()
    const observed = watchBudgets(fleet)
    await fleet.change(preset('peak', 5, 5, 2))
    await fleet.change(startWave(fleet, 'kernel', 2))
    await fleet.change(activate(fleet, 'peak'))
    await fleet.waitUntil(() => fleet.state.waves.get('kernel')?.phase === 'finished' && String(sizes(fleet)) === '5,5,2', 'wave and switch finished')
    expect(observed.fewestServing).toBeGreaterThanOrEqual(2)
  })
})

describe('FewestMovesPlanner', () => {
  it('moves exactly as many VMs as are missing, and takes none from a pool that is at its size', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 8 }), fc.integer({ min: 0, max: 8 }), (one, two) => {
      const log = new LogAuthor()
      configureSmallFleet(log)
      const pools = [{ pool: 'one', size: one, minimumServing: 0 }, { pool: 'two', size: two, minimumServing: 0 }]
      const putDecision = log.decide({ kind: 'put-preset', value: { name: 'p', pools, teams: [] }, expectedVersion: 0 })
      if (!putDecision?.isAccepted || !log.decide({ kind: 'activate-preset', preset: 'p', expectedVersion: 0 })?.isAccepted) return
      const moves = new FewestMovesPlanner().plan(log.state)
      const missing = Math.max(0, one - 4) + Math.max(0, two - 4)
      expect(moves.length).toBe(missing)
      const sizeAfter = new Map([['one', 4], ['two', 4]])
      for (const { fromPool, toPool } of moves) {
        sizeAfter.set(fromPool, (sizeAfter.get(fromPool) ?? 0) - 1)
        sizeAfter.set(toPool, (sizeAfter.get(toPool) ?? 0) + 1)
      }
      expect(sizeAfter.get('one')).toBeGreaterThanOrEqual(Math.min(one, 4))
      expect(sizeAfter.get('two')).toBeGreaterThanOrEqual(Math.min(two, 4))
    }), { seed: SEED, numRuns: 81 })
  })
})

describe('DrainEvaluator', () => {
  function blockersOf (zone: string, contact: { offset?: number, isBusy?: boolean, silentMilliseconds?: number }): string[] {
    const log = new LogAuthor()
    configureSmallFleet(log)
    log.join('entry', 'entry-a')
    const virtualMachineState = [...log.state.virtualMachines.values()].find(({ value }) => value.availabilityZone === zone)
    if (!virtualMachineState) throw new Error('the zone has no VM')
    const now = log.time + 3_600_000
    const memberStatus = contact.offset === undefined
      ? undefined
      : { member: 'entry-a', incarnation: 'entry-a-1', sequence: 1, offset: contact.offset, freshAt: 0, reachesLog: true, ...(contact.isBusy ? { busyVirtualMachines: [virtualMachineState.value.id] } : {}) }
    return new DrainEvaluator().blockers(log.state, virtualMachineState, () => ({ latestStatus: memberStatus, lastContactAt: now - (contact.silentMilliseconds ?? 0) }), now)
  }

  it('relies on a process\'s own status, unless it is older than the drain', () => {
    expect(blockersOf('b', { offset: 1_000 })).toEqual([])
    expect(blockersOf('b', { offset: 1_000, isBusy: true })).toEqual(['entry-a'])
    expect(blockersOf('b', { offset: 0 })).toEqual(['entry-a'])
  })

  it('counts a silent process as confirmed for other zones once it must have stopped dispatching, and never for its own zone', () => {
    expect(blockersOf('b', { offset: 0, silentMilliseconds: 3_600_000 })).toEqual([])
    expect(blockersOf('b', { offset: 0, silentMilliseconds: 6_000 })).toEqual(['entry-a'])
    expect(blockersOf('a', { offset: 0, silentMilliseconds: 3_600_000 })).toEqual(['entry-a'])
  })
})
