/**
 * Tests of the record fold: which commands it accepts and which it refuses when operators change the same object at
 * the same time, records are repeated, or a lease holder was paused until its lease had expired.
 */
import { describe, expect, it } from 'vitest'
import type { Command } from '../src/schemas/command.js'
import { FleetState } from '../src/state/fleet-state.js'
import { LogAuthor } from './support/log-author.js'
import { configureSmallFleet } from './support/configure-small-fleet.js'

function prepareLog (): LogAuthor {
  const prepared = new LogAuthor()
  configureSmallFleet(prepared)
  prepared.join('entry', 'entry-a', 'entry-b')
  prepared.join('control', 'control-a', 'control-b')
  return prepared
}

function acquireLease (log: LogAuthor, member: string, expectedToken: number, name = 'operations'): boolean {
  return log.decide({
    kind: 'take-lease', name, holder: { member, incarnation: `${member}-1` }, expectedToken, deadline: log.time + 10_000
  })?.isAccepted ?? false
}

function startOperation (log: LogAuthor, virtualMachine: string, toPool: string): Command {
  const current = log.state.virtualMachines.get(virtualMachine)
  const kind = current?.value.pool === toPool ? 'maintenance' : 'move'
  return {
    kind: 'start-operation',
    virtualMachine,
    operation: { kind, toPool, intentId: `intent-${virtualMachine}`, wave: null },
    expectedVersion: current?.version ?? 0,
    proof: null
  }
}

describe('operators\' changes', () => {
  it('accepts the first of two concurrent changes and refuses the other with a version conflict', () => {
    const log = prepareLog()
    const { version = 0 } = log.state.teams.get('team') ?? {}
    const putTeam = (upperLimit: number): Command => ({ kind: 'put-team', value: { name: 'team', share: 1, upperLimit }, expectedVersion: version })
    expect(log.decide(putTeam(20))?.isAccepted).toBe(true)
    expect(log.decide(putTeam(5))?.findings).toMatchObject([{ code: 'version-conflict' }])
    expect(log.state.upperLimit('team')).toBe(20)
  })

  it('decides a change id once, however often it is appended', () => {
    const log = prepareLog()
    const { version = 0 } = log.state.teams.get('team') ?? {}
    const putTeam: Command = { kind: 'put-team', value: { name: 'team', share: 1, upperLimit: 20 }, expectedVersion: version }
    expect(log.decide(putTeam, 'operator', 'change')?.isAccepted).toBe(true)
    expect(log.decide(putTeam, 'operator', 'change')).toBeNull()
    expect(log.state.decisions.get('change')?.isAccepted).toBe(true)
  })

  it('reports every finding of a document at once', () => {
    const log = prepareLog()
    const decision = log.decide({
      kind: 'put-preset',
      value: { name: 'p', pools: [{ pool: 'none', size: 1 }, { pool: 'one', size: 1 }, { pool: 'one', size: 2 }], teams: [{ team: 'nobody', share: 1 }] },
      expectedVersion: 0
    })
    expect(decision?.findings.map(finding => finding.path)).toEqual(['$.pools[0].pool', '$.pools[2].pool', '$.teams[0].team'])
  })

  it('keeps exactly one preset in force and refuses one that the fleet cannot satisfy', () => {
    const log = prepareLog()
    log.accept(
      { kind: 'put-preset', value: { name: 'ordinary', pools: [{ pool: 'one', size: 4 }], teams: [{ team: 'team', upperLimit: 3 }] }, expectedVersion: 0 },
      { kind: 'put-preset', value: { name: 'impossible', pools: [{ pool: 'one', size: 40 }], teams: [] }, expectedVersion: 0 },
      { kind: 'activate-preset', preset: 'ordinary', expectedVersion: 0 }
    )
    expect(log.state.upperLimit('team')).toBe(3)
    const { version = 0 } = log.state.presetInForce ?? {}
    expect(log.decide({ kind: 'activate-preset', preset: 'impossible', expectedVersion: version })?.isAccepted).toBe(false)
    expect(log.state.presetInForce?.name).toBe('ordinary')
  })

  it('never grants a withdrawn key\'s id again', () => {
    const log = prepareLog()
    const grantKey: Command = { kind: 'grant-key', value: { id: 'k', team: 'team', queues: [], sha256: '0'.repeat(64) } }
    log.accept(grantKey, { kind: 'withdraw-key', keyId: 'k' }, { kind: 'withdraw-key', keyId: 'k' })
    expect(log.decide(grantKey)?.isAccepted).toBe(false)
    expect(log.state.keys.get('k')?.value.isWithdrawn).toBe(true)
  })

  it('refuses to take out a zone if that breaks a budget, unless the change is forced', () => {
    const log = prepareLog()
    log.accept(startOperation(log, 'one-1', 'one'))
    const takeZoneOut = (force: boolean): Command => ({ kind: 'set-availability-zone', availabilityZone: 'a', isOut: true, force, expectedVersion: 0 })
    expect(log.decide(takeZoneOut(false))?.findings).toMatchObject([{ code: 'budget' }])
    expect(log.decide(takeZoneOut(true))?.isAccepted).toBe(true)
  })
})

describe('planned work on VMs', () => {
  it('counts planned and unplanned absence against the same budget', () => {
    const log = prepareLog()
    acquireLease(log, 'control-a', 0)
    const proof = { lease: 'operations', token: log.state.leases.get('operations')?.token ?? 0 }
    log.accept(startOperation(log, 'one-0', 'two'), { kind: 'set-absence', virtualMachine: 'one-1', isAbsent: true, proof })
    expect(log.decide(startOperation(log, 'one-2', 'one'))?.findings).toMatchObject([{ code: 'budget' }])
  })

  it('changes a VM\'s pool at a single offset, and only after its drain', () => {
    const log = prepareLog()
    acquireLease(log, 'control-a', 0)
    const proof = { lease: 'operations', token: log.state.leases.get('operations')?.token ?? 0 }
    const advance = (toPhase: 'rebooting' | 'serving'): Command => ({ kind: 'advance-operation', virtualMachine: 'one-0', intentId: 'intent-one-0', toPhase, proof })
    log.accept(startOperation(log, 'one-0', 'two'))
    expect(log.state.virtualMachines.get('one-0')).toMatchObject({ value: { pool: 'one' }, phase: 'draining' })
    log.accept(advance('rebooting'))
    expect(log.state.virtualMachines.get('one-0')).toMatchObject({ value: { pool: 'two' }, phase: 'rebooting' })
    expect(log.decide(advance('rebooting'))?.isAccepted).toBe(false)
    log.accept(advance('serving'))
    expect(log.state.virtualMachines.get('one-0')).toMatchObject({ value: { pool: 'two' }, phase: 'serving', operation: null })
  })

  it('refuses a late record of a holder that was paused until its lease had expired', () => {
    const log = prepareLog()
    acquireLease(log, 'control-a', 0)
    const oldProof = { lease: 'operations', token: log.state.leases.get('operations')?.token ?? 0 }
    log.accept(startOperation(log, 'one-0', 'two'))
    log.time += 12_000
    expect(acquireLease(log, 'control-b', oldProof.token)).toBe(true)
    const lateDecision = log.decide({ kind: 'advance-operation', virtualMachine: 'one-0', intentId: 'intent-one-0', toPhase: 'rebooting', proof: oldProof })
    expect(lateDecision?.findings).toMatchObject([{ code: 'not-holder' }])
    expect(log.state.virtualMachines.get('one-0')?.phase).toBe('draining')
  })

  it('lets no second process acquire a lease before it expires, and renews it under the same token', () => {
    const log = prepareLog()
    expect(acquireLease(log, 'control-a', 0)).toBe(true)
    const { token = 0 } = log.state.leases.get('operations') ?? {}
    log.time += 9_000
    expect(acquireLease(log, 'control-b', token)).toBe(false)
    expect(acquireLease(log, 'control-a', token)).toBe(true)
    expect(log.state.leases.get('operations')?.token).toBe(token)
  })
})

describe('upper limits', () => {
  const holder = (member: string) => ({ member, incarnation: `${member}-1` })
  const adjustGrants = (member: string, sequence: number, units: number): Command => ({ kind: 'adjust-grants', holder: holder(member), sequence, changes: [{ team: 'team', units }] })

  it('grants only units that are free', () => {
    const log = prepareLog()
    log.accept(adjustGrants('entry-a', 1, 7), adjustGrants('entry-b', 1, 7))
    expect([log.state.unitsHeldBy(holder('entry-a'), 'team'), log.state.unitsHeldBy(holder('entry-b'), 'team')]).toEqual([7, 3])
  })

  it('divides a new team\'s units among the registered entry processes', () => {
    const log = prepareLog()
    log.accept({ kind: 'put-team', value: { name: 'new', share: 1, upperLimit: 9 }, expectedVersion: 0 })
    expect([log.state.unitsHeldBy(holder('entry-a'), 'new'), log.state.unitsHeldBy(holder('entry-b'), 'new')]).toEqual([4, 4])
  })

  it('changes nothing when an append is repeated', () => {
    const log = prepareLog()
    log.accept(adjustGrants('entry-a', 1, 4))
    expect(log.decide(adjustGrants('entry-a', 1, 4))?.isAccepted).toBe(false)
    expect(log.state.grantedUnits('team')).toBe(4)
  })

  it('transfers units between holders without changing their sum', () => {
    const log = prepareLog()
    log.accept(adjustGrants('entry-a', 1, 10))
    log.accept({ kind: 'transfer-grants', holder: holder('entry-a'), sequence: 2, to: holder('entry-b'), changes: [{ team: 'team', units: 6 }] })
    expect([log.state.unitsHeldBy(holder('entry-a'), 'team'), log.state.unitsHeldBy(holder('entry-b'), 'team')]).toEqual([4, 6])
  })

  it('frees an ended holder\'s units only after the last deadline of the requests that it may have started', () => {
    const log = prepareLog()
    log.accept(adjustGrants('entry-a', 1, 10), { kind: 'end-member', holder: holder('entry-a'), reason: 'gone' })
    expect(log.decide({ kind: 'return-grants', holder: holder('entry-a') })?.isAccepted).toBe(false)
    log.accept(adjustGrants('entry-b', 1, 10))
    expect(log.state.grantedUnits('team')).toBe(10)
    expect(log.state.unitsHeldBy(holder('entry-b'), 'team')).toBe(0)
    log.time += log.state.longestTimeoutMilliseconds + 31_000
    log.accept({ kind: 'return-grants', holder: holder('entry-a') }, adjustGrants('entry-b', 2, 10))
    expect(log.state.unitsHeldBy(holder('entry-b'), 'team')).toBe(10)
  })

  it('treats a restart as the end of the previous incarnation, and ignores a late join of that incarnation', () => {
    const log = prepareLog()
    const member = log.state.members.get('entry-a')
    if (!member) throw new Error('entry-a is not a member')
    log.accept(adjustGrants('entry-a', 1, 5))
    log.time += 1
    log.accept({ kind: 'join-member', value: { ...member, incarnation: 'entry-a-2', joinedAt: log.time } })
    expect(log.state.isRegistered(holder('entry-a'))).toBe(false)
    expect(log.decide({ kind: 'join-member', value: { ...member, joinedAt: member.joinedAt } })?.isAccepted).toBe(false)
    expect(log.decide(adjustGrants('entry-a', 2, 1))?.findings).toMatchObject([{ code: 'not-holder' }])
  })
})

describe('claims', () => {
  const claim = (requestId: string, time: number) => ({
    key: 'a'.repeat(64),
    fingerprint: 'b'.repeat(64),
    requestId,
    holder: { member: 'entry-a', incarnation: 'entry-a-1' },
    requestDeadline: time + 1_000,
    expiryDeadline: time + 2_000
  })
  const outcome = (requestId: string, kind: 'answered' | 'not-run'): Command => ({
    kind: 'record-outcomes', outcomes: [{ key: 'a'.repeat(64), requestId, outcome: { kind, status: 200, contentType: '', body: '' } }]
  })

  it('accepts the claim at the first offset, and keeps its first outcome', () => {
    const log = prepareLog()
    log.decide({ kind: 'record-claims', claims: [claim('first', log.time)] }, 'entry-a')
    log.decide({ kind: 'record-claims', claims: [claim('second', log.time)] }, 'entry-b')
    log.accept(outcome('second', 'not-run'), outcome('first', 'answered'), outcome('first', 'not-run'))
    expect(log.state.claims.get('a'.repeat(64))).toMatchObject({ requestId: 'first', outcome: { kind: 'answered' } })
  })

  it('frees a claim whose request provably never ran, and one that has expired', () => {
    const log = prepareLog()
    log.decide({ kind: 'record-claims', claims: [claim('first', log.time)] }, 'entry-a')
    log.accept(outcome('first', 'not-run'))
    log.decide({ kind: 'record-claims', claims: [claim('second', log.time)] }, 'entry-a')
    expect(log.state.claims.get('a'.repeat(64))?.requestId).toBe('second')
    log.time += 3_000
    log.decide({ kind: 'record-claims', claims: [claim('third', log.time)] }, 'entry-a')
    expect(log.state.claims.get('a'.repeat(64))?.requestId).toBe('third')
  })

  it('keeps claims from expiring because of a single wrong clock', () => {
    const log = prepareLog()
    const longClaim = { ...claim('first', log.time), expiryDeadline: log.time + 600_000 }
    log.decide({ kind: 'record-claims', claims: [longClaim] }, 'entry-a')
    log.time += 86_400_000
    log.decide({ kind: 'record-claims', claims: [{ ...claim('second', log.time) }] }, 'entry-b')
    expect(log.state.claims.get('a'.repeat(64))?.requestId).toBe('first')
  })
})

describe('snapshots of the state', () => {
  it('restore the state exactly', () => {
    const log = prepareLog()
    acquireLease(log, 'control-a', 0)
    log.accept(startOperation(log, 'one-0', 'two'))
    const snapshot = log.state.toSnapshot()
    expect(FleetState.fromSnapshot(JSON.parse(JSON.stringify(snapshot))).toSnapshot()).toEqual(snapshot)
  })
})
