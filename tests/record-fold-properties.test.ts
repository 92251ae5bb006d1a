/**
 * The fold against a naive model, over random interleavings of authors, repeats and faults.
 */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Command } from '../src/schemas/command.js'
import { FleetState } from '../src/state/fleet-state.js'
import { RecordFold } from '../src/state/record-fold.js'
import { LogAuthor } from './support/log-author.js'
import { smallFleet } from './support/small-fleet.js'

const SEED = 20261204
const MEMBERS = ['entry-a', 'entry-b', 'entry-c']
const MACHINES = ['one', 'two', 'spare'].flatMap(pool => [0, 1, 2, 3].map(index => `${pool}-${index}`))

/** Knows everything and counts by brute force: units by holder, nothing else. */
class NaiveLimits {
  readonly units = new Map<string, number>()
  readonly sequences = new Map<string, number>()
  readonly dead = new Set<string>()

  sum (): number {
    return [...this.units.values()].reduce((total, units) => total + units, 0)
  }

  adjust (member: string, sequence: number, change: number, limit: number): void {
    if (this.dead.has(member) || sequence !== (this.sequences.get(member) ?? 0) + 1) return
    this.sequences.set(member, sequence)
    const held = this.units.get(member) ?? 0
    const next = change > 0 ? held + Math.min(change, Math.max(0, limit - this.sum())) : Math.max(0, held + change)
    this.units.set(member, next)
  }

  transfer (from: string, to: string, sequence: number, units: number): void {
    const held = this.units.get(from) ?? 0
    if (this.dead.has(from) || this.dead.has(to) || sequence !== (this.sequences.get(from) ?? 0) + 1 || units > held) return
    this.sequences.set(from, sequence)
    this.units.set(from, held - units)
    this.units.set(to, (this.units.get(to) ?? 0) + units)
  }
}

const member = fc.constantFrom(...MEMBERS)
const limitAction = fc.oneof(
  fc.record({ kind: fc.constant('adjust' as const), member, lag: fc.integer({ min: 0, max: 2 }), units: fc.integer({ min: -8, max: 8 }).filter(units => units !== 0) }),
  fc.record({ kind: fc.constant('transfer' as const), member, to: member, lag: fc.integer({ min: 0, max: 1 }), units: fc.integer({ min: 1, max: 8 }) }),
  fc.record({ kind: fc.constant('end' as const), member }),
  fc.record({ kind: fc.constant('limit' as const), limit: fc.integer({ min: 0, max: 20 }) })
)

describe('upper limits over random interleavings', () => {
  it('agree with the naive model, and grow only within the limit', () => {
    fc.assert(fc.property(fc.array(limitAction, { maxLength: 60 }), actions => {
      const log = new LogAuthor()
      smallFleet(log)
      log.join('entry', ...MEMBERS)
      const naive = new NaiveLimits()
      const holder = (name: string) => ({ member: name, incarnation: `${name}-1` })
      for (const action of actions) {
        const before = log.state.grantedUnits('team')
        const limit = log.state.upperLimit('team')
        if (action.kind === 'limit') {
          const { version = 0 } = log.state.teams.get('team') ?? {}
          log.accept({ kind: 'put-team', value: { name: 'team', share: 1, upperLimit: action.limit }, expectedVersion: version })
        } else if (action.kind === 'end') {
          log.decide({ kind: 'end-member', holder: holder(action.member), reason: 'gone' })
          naive.dead.add(action.member)
        } else {
          // A lag of zero is the right next sequence; others stand for repeats and late records.
          const sequence = Math.max(1, (naive.sequences.get(action.member) ?? 0) + 1 - action.lag)
          if (action.kind === 'adjust') {
            log.decide({ kind: 'adjust-grants', holder: holder(action.member), sequence, changes: [{ team: 'team', units: action.units }] })
            naive.adjust(action.member, sequence, action.units, limit)
          } else {
            log.decide({ kind: 'transfer-grants', holder: holder(action.member), sequence, to: holder(action.to), changes: [{ team: 'team', units: action.units }] })
            naive.transfer(action.member, action.to, sequence, action.units)
          }
        }
        const after = log.state.grantedUnits('team')
        expect(after).toBeLessThanOrEqual(Math.max(before, limit))
        for (const name of MEMBERS) expect(log.state.unitsHeldBy(holder(name), 'team')).toBe(naive.units.get(name) ?? 0)
      }
    }), { seed: SEED, numRuns: 300 })
  })
})

const machine = fc.constantFrom(...MACHINES)
const pool = fc.constantFrom('one', 'two', 'spare')
const fleetAction = fc.oneof(
  fc.record({ kind: fc.constant('start' as const), machine, pool, stale: fc.boolean() }),
  fc.record({ kind: fc.constant('advance' as const), machine, toPhase: fc.constantFrom('rebooting' as const, 'serving' as const), token: fc.integer({ min: 0, max: 1 }) }),
  fc.record({ kind: fc.constant('absence' as const), machine, isAbsent: fc.boolean() }),
  fc.record({ kind: fc.constant('zone' as const), zone: fc.constantFrom('a', 'b', 'c'), isOut: fc.boolean() }),
  fc.record({ kind: fc.constant('activate' as const), preset: fc.constantFrom('first', 'second'), stale: fc.boolean() })
)

function command (state: FleetState, action: typeof fleetAction extends fc.Arbitrary<infer T> ? T : never, token: number): Command {
  switch (action.kind) {
    case 'start': {
      const present = state.virtualMachines.get(action.machine)
      const kind = present?.value.pool === action.pool ? 'maintenance' : 'move'
      const expectedVersion = (present?.version ?? 0) - (action.stale ? 1 : 0)
      return { kind: 'start-operation', virtualMachine: action.machine, operation: { kind, toPool: action.pool, intentId: `intent-${action.machine}`, wave: null }, expectedVersion: Math.max(0, expectedVersion), proof: null }
    }
    case 'advance':
      return { kind: 'advance-operation', virtualMachine: action.machine, intentId: `intent-${action.machine}`, toPhase: action.toPhase, proof: { lease: 'operations', token: token - action.token } }
    case 'absence':
      return { kind: 'set-absence', virtualMachine: action.machine, isAbsent: action.isAbsent, proof: { lease: 'operations', token } }
    case 'zone':
      return { kind: 'set-availability-zone', availabilityZone: action.zone, isOut: action.isOut, force: false, expectedVersion: state.availabilityZones.get(action.zone)?.version ?? 0 }
    case 'activate':
      return { kind: 'activate-preset', preset: action.preset, expectedVersion: Math.max(0, (state.presetInForce?.version ?? 0) - (action.stale ? 1 : 0)) }
  }
}

function prepared (): LogAuthor {
  const log = new LogAuthor()
  smallFleet(log)
  log.join('control', 'control-a')
  log.accept(
    { kind: 'take-lease', name: 'operations', holder: { member: 'control-a', incarnation: 'control-a-1' }, expectedToken: 0, deadline: log.time + 1e9 },
    { kind: 'put-preset', value: { name: 'first', pools: [{ pool: 'one', size: 4 }], teams: [] }, expectedVersion: 0 },
    { kind: 'put-preset', value: { name: 'second', pools: [{ pool: 'one', size: 6, minimumServing: 3 }], teams: [] }, expectedVersion: 0 }
  )
  return log
}

describe('VMs, budgets and presets over random interleavings', () => {
  it('hold at every offset: one pool for each VM, planned work within budgets, one preset in force', () => {
    fc.assert(fc.property(fc.array(fleetAction, { maxLength: 80 }), actions => {
      const log = prepared()
      const token = log.state.leases.get('operations')?.token ?? 0
      for (const action of actions) {
        const servingBefore = new Map([...log.state.pools.keys()].map(name => [name, log.state.servingVirtualMachines(name).length]))
        const inForceBefore = log.state.presetInForce
        const decision = log.decide(command(log.state, action, token))
        expect(log.state.virtualMachines.size).toBe(MACHINES.length)
        for (const { value } of log.state.virtualMachines.values()) expect(log.state.pools.has(value.pool)).toBe(true)
        if (inForceBefore) expect(log.state.presetInForce).not.toBeNull()
        const isPlanned = action.kind === 'start' || (action.kind === 'zone' && action.isOut)
        if (!decision?.isAccepted || !isPlanned) continue
        for (const name of log.state.pools.keys()) {
          const serving = log.state.servingVirtualMachines(name).length
          // A pool below its budget already, by unplanned absence, loses nothing more to planned work.
          if (serving < (servingBefore.get(name) ?? 0)) expect(serving).toBeGreaterThanOrEqual(log.state.minimumServing(name))
        }
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('come to the same state by every way: straight, by a snapshot at any point, and with every record twice', () => {
    fc.assert(fc.property(fc.array(fleetAction, { maxLength: 40 }), fc.nat(), (actions, cut) => {
      const log = prepared()
      const token = log.state.leases.get('operations')?.token ?? 0
      for (const action of actions) log.decide(command(log.state, action, token))
      const expected = log.state.toSnapshot()
      const at = cut % (log.records.length + 1)
      const first = new RecordFold(new FleetState())
      log.records.slice(0, at).forEach((record, index) => first.fold(index + 1, record))
      const second = new RecordFold(FleetState.fromSnapshot(JSON.parse(JSON.stringify(first.state.toSnapshot()))))
      log.records.slice(at).forEach((record, index) => second.fold(at + index + 1, record))
      expect(second.state.toSnapshot()).toEqual(expected)
      const doubled = new RecordFold(new FleetState())
      log.records.forEach((record, index) => {
        doubled.fold(index + 1, record)
        doubled.fold(index + 1, record)
      })
      expect(doubled.state.toSnapshot().virtualMachines).toEqual(expected.virtualMachines)
      expect(doubled.state.presetInForce).toEqual(expected.presetInForce)
    }), { seed: SEED, numRuns: 100 })
  })
})
