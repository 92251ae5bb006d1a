/**
 * Property tests of the record fold over random interleavings of members' commands, with repeated, late and stale ones.
 * Grants are compared with a naive model; the invariants of VMs, budgets and presets are checked at every offset.
 */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Command } from '../src/schemas/command.js'
import { FleetState } from '../src/state/fleet-state.js'
import { RecordFold } from '../src/state/record-fold.js'
import { LogAuthor } from './support/log-author.js'
import { configureSmallFleet } from './support/configure-small-fleet.js'

const SEED = 20261204
const MEMBERS = ['entry-a', 'entry-b', 'entry-c']
const VIRTUAL_MACHINES = ['one', 'two', 'spare'].flatMap(pool => [0, 1, 2, 3].map(index => `${pool}-${index}`))

/** Naive model of a team's upper limit: the granted units, the last sequence of each holder and the members that have ended. */
class NaiveLimits {
  readonly units = new Map<string, number>()
  readonly sequences = new Map<string, number>()
  readonly ended = new Set<string>()

  sum (): number {
    return [...this.units.values()].reduce((total, units) => total + units, 0)
  }

  adjust (member: string, sequence: number, change: number, limit: number): void {
    if (this.ended.has(member) || sequence !== (this.sequences.get(member) ?? 0) + 1) return
    this.sequences.set(member, sequence)
    const held = this.units.get(member) ?? 0
    const next = change > 0 ? held + Math.min(change, Math.max(0, limit - this.sum())) : Math.max(0, held + change)
    this.units.set(member, next)
  }

  transfer (from: string, to: string, sequence: number, units: number): void {
    const held = this.units.get(from) ?? 0
    if (this.ended.has(from) || this.ended.has(to) || sequence !== (this.sequences.get(from) ?? 0) + 1 || units > held) return
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
  it('match the naive model, and granted units grow only within the limit', () => {
    fc.assert(fc.property(fc.array(limitAction, { maxLength: 60 }), actions => {
      const log = new LogAuthor()
      configureSmallFleet(log)
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
          naive.ended.add(action.member)
        } else {
          // A lag of 0 gives the next expected sequence; a greater lag simulates a repeated or late record.
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

const virtualMachineId = fc.constantFrom(...VIRTUAL_MACHINES)
const pool = fc.constantFrom('one', 'two', 'spare')
const fleetAction = fc.oneof(
  fc.record({ kind: fc.constant('start' as const), virtualMachineId, pool, isStale: fc.boolean() }),
  fc.record({ kind: fc.constant('advance' as const), virtualMachineId, toPhase: fc.constantFrom('rebooting' as const, 'serving' as const), tokenLag: fc.integer({ min: 0, max: 1 }) }),
  fc.record({ kind: fc.constant('absence' as const), virtualMachineId, isAbsent: fc.boolean() }),
  fc.record({ kind: fc.constant('zone' as const), zone: fc.constantFrom('a', 'b', 'c'), isOut: fc.boolean() }),
  fc.record({ kind: fc.constant('activate' as const), preset: fc.constantFrom('first', 'second'), isStale: fc.boolean() })
)

function commandFor (state: FleetState, action: typeof fleetAction extends fc.Arbitrary<infer T> ? T : never, token: number): Command {
  switch (action.kind) {
    case 'start': {
      const current = state.virtualMachines.get(action.virtualMachineId)
      const kind = current?.value.pool === action.pool ? 'maintenance' : 'move'
      const expectedVersion = (current?.version ?? 0) - (action.isStale ? 1 : 0)
      return {
        kind: 'start-operation',
        virtualMachine: action.virtualMachineId,
        operation: { kind, toPool: action.pool, intentId: `intent-${action.virtualMachineId}`, wave: null },
        expectedVersion: Math.max(0, expectedVersion),
        proof: null
      }
    }
    case 'advance':
      return {
        kind: 'advance-operation',
        virtualMachine: action.virtualMachineId,
        intentId: `intent-${action.virtualMachineId}`,
        toPhase: action.toPhase,
        proof: { lease: 'operations', token: token - action.tokenLag }
      }
    case 'absence':
      return { kind: 'set-absence', virtualMachine: action.virtualMachineId, isAbsent: action.isAbsent, proof: { lease: 'operations', token } }
    case 'zone':
      return { kind: 'set-availability-zone', availabilityZone: action.zone, isOut: action.isOut, force: false, expectedVersion: state.availabilityZones.get(action.zone)?.version ?? 0 }
    case 'activate':
      return { kind: 'activate-preset', preset: action.preset, expectedVersion: Math.max(0, (state.presetInForce?.version ?? 0) - (action.isStale ? 1 : 0)) }
  }
}

function prepareLog (): LogAuthor {
  const log = new LogAuthor()
  configureSmallFleet(log)
  log.join('control', 'control-a')
  log.accept(
    { kind: 'take-lease', name: 'operations', holder: { member: 'control-a', incarnation: 'control-a-1' }, expectedToken: 0, deadline: log.time + 1e9 },
    { kind: 'put-preset', value: { name: 'first', pools: [{ pool: 'one', size: 4 }], teams: [] }, expectedVersion: 0 },
    { kind: 'put-preset', value: { name: 'second', pools: [{ pool: 'one', size: 6, minimumServing: 3 }], teams: [] }, expectedVersion: 0 }
  )
  return log
}

describe('VMs, budgets and presets over random interleavings', () => {
  it('keep the invariants at every offset: one pool for each VM, planned work within budgets, one preset in force', () => {
    fc.assert(fc.property(fc.array(fleetAction, { maxLength: 80 }), actions => {
      const log = prepareLog()
      const token = log.state.leases.get('operations')?.token ?? 0
      for (const action of actions) {
        const servingBefore = new Map([...log.state.pools.keys()].map(name => [name, log.state.servingVirtualMachines(name).length]))
        const inForceBefore = log.state.presetInForce
        const decision = log.decide(commandFor(log.state, action, token))
        expect(log.state.virtualMachines.size).toBe(VIRTUAL_MACHINES.length)
        for (const { value } of log.state.virtualMachines.values()) expect(log.state.pools.has(value.pool)).toBe(true)
        if (inForceBefore) expect(log.state.presetInForce).not.toBeNull()
        const isPlanned = action.kind === 'start' || (action.kind === 'zone' && action.isOut)
        if (!decision?.isAccepted || !isPlanned) continue
        for (const name of log.state.pools.keys()) {
          const serving = log.state.servingVirtualMachines(name).length
          // Planned work must not take a VM from a pool that unplanned absences have already brought below its budget.
          if (serving < (servingBefore.get(name) ?? 0)) expect(serving).toBeGreaterThanOrEqual(log.state.minimumServing(name))
        }
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('reach the same state from all records in sequence and from a snapshot at any point, and the same VMs and preset in force with every record repeated', () => {
    fc.assert(fc.property(fc.array(fleetAction, { maxLength: 40 }), fc.nat(), (actions, randomIndex) => {
      const log = prepareLog()
      const token = log.state.leases.get('operations')?.token ?? 0
      for (const action of actions) log.decide(commandFor(log.state, action, token))
      const expected = log.state.toSnapshot()
      const split = randomIndex % (log.records.length + 1)
      const beforeSnapshot = new RecordFold(new FleetState())
      log.records.slice(0, split).forEach((record, index) => beforeSnapshot.fold(index + 1, record))
      const afterSnapshot = new RecordFold(FleetState.fromSnapshot(JSON.parse(JSON.stringify(beforeSnapshot.state.toSnapshot()))))
      log.records.slice(split).forEach((record, index) => afterSnapshot.fold(split + index + 1, record))
      expect(afterSnapshot.state.toSnapshot()).toEqual(expected)
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
