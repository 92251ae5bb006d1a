/**
 * The fold: what operators, racing authors and paused holders may and may not do.
 */
import { describe, expect, it } from 'vitest'
import type { Command } from '../src/schemas/command.js'
import { FleetState } from '../src/state/fleet-state.js'
import { LogAuthor } from './support/log-author.js'
import { smallFleet } from './support/small-fleet.js'

function author (): LogAuthor {
  const result = new LogAuthor()
  smallFleet(result)
  result.join('entry', 'entry-a', 'entry-b')
  result.join('control', 'control-a', 'control-b')
  return result
}

function lease (log: LogAuthor, member: string, expectedToken: number, name = 'operations'): boolean {
  return log.decide({
    kind: 'take-lease', name, holder: { member, incarnation: `${member}-1` }, expectedToken, deadline: log.time + 10_000
  })?.isAccepted ?? false
}

function start (log: LogAuthor, virtualMachine: string, toPool: string): Command {
  const machine = log.state.virtualMachines.get(virtualMachine)
  const kind = machine?.value.pool === toPool ? 'maintenance' : 'move'
  return {
    kind: 'start-operation',
    virtualMachine,
    operation: { kind, toPool, intentId: `intent-${virtualMachine}`, wave: null },
    expectedVersion: machine?.version ?? 0,
    proof: null
  }
}

describe('operators\' changes', () => {
  it('lets the first of two racing operators win and tells the other what is there', () => {
    const log = author()
    const { version = 0 } = log.state.teams.get('team') ?? {}
    const put = (upperLimit: number): Command => ({ kind: 'put-team', value: { name: 'team', share: 1, upperLimit }, expectedVersion: version })
    expect(log.decide(put(20))?.isAccepted).toBe(true)
    expect(log.decide(put(5))?.findings).toMatchObject([{ code: 'version-conflict' }])
    expect(log.state.upperLimit('team')).toBe(20)
  })

  it('decides a change id once, however often it is appended', () => {
    const log = author()
    const { version = 0 } = log.state.teams.get('team') ?? {}
    const put: Command = { kind: 'put-team', value: { name: 'team', share: 1, upperLimit: 20 }, expectedVersion: version }
    expect(log.decide(put, 'operator', 'change')?.isAccepted).toBe(true)
    expect(log.decide(put, 'operator', 'change')).toBeNull()
    expect(log.state.decisions.get('change')?.isAccepted).toBe(true)
  })

  it('reports every finding of a document at once', () => {
    const log = author()
    const decision = log.decide({
      kind: 'put-preset',
      value: { name: 'p', pools: [{ pool: 'none', size: 1 }, { pool: 'one', size: 1 }, { pool: 'one', size: 2 }], teams: [{ team: 'nobody', share: 1 }] },
      expectedVersion: 0
    })
    expect(decision?.findings.map(finding => finding.path)).toEqual(['$.pools[0].pool', '$.pools[2].pool', '$.teams[0].team'])
  })

  it('keeps exactly one preset in force and refuses one that cannot be met', () => {
    const log = author()
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
    const log = author()
    const grant: Command = { kind: 'grant-key', value: { id: 'k', team: 'team', queues: [], sha256: '0'.repeat(64) } }
    log.accept(grant, { kind: 'withdraw-key', keyId: 'k' }, { kind: 'withdraw-key', keyId: 'k' })
    expect(log.decide(grant)?.isAccepted).toBe(false)
    expect(log.state.keys.get('k')?.value.isWithdrawn).toBe(true)
  })

  it('refuses a zone\'s leave that breaks a budget unless it is forced', () => {
    const log = author()
    log.accept(start(log, 'one-1', 'one'))
    const out = (force: boolean): Command => ({ kind: 'set-availability-zone', availabilityZone: 'a', isOut: true, force, expectedVersion: 0 })
    expect(log.decide(out(false))?.findings).toMatchObject([{ code: 'budget' }])
    expect(log.decide(out(true))?.isAccepted).toBe(true)
  })
})

describe('planned work on VMs', () => {
  it('counts planned and unplanned absence against the same budget', () => {
    const log = author()
    lease(log, 'control-a', 0)
    const proof = { lease: 'operations', token: log.state.leases.get('operations')?.token ?? 0 }
    log.accept(start(log, 'one-0', 'two'), { kind: 'set-absence', virtualMachine: 'one-1', isAbsent: true, proof })
    expect(log.decide(start(log, 'one-2', 'one'))?.findings).toMatchObject([{ code: 'budget' }])
  })

  it('changes the pool at one offset, and only after the drain', () => {
    const log = author()
    lease(log, 'control-a', 0)
    const proof = { lease: 'operations', token: log.state.leases.get('operations')?.token ?? 0 }
    const advance = (toPhase: 'rebooting' | 'serving'): Command => ({ kind: 'advance-operation', virtualMachine: 'one-0', intentId: 'intent-one-0', toPhase, proof })
    log.accept(start(log, 'one-0', 'two'))
    expect(log.state.virtualMachines.get('one-0')).toMatchObject({ value: { pool: 'one' }, phase: 'draining' })
    log.accept(advance('rebooting'))
    expect(log.state.virtualMachines.get('one-0')).toMatchObject({ value: { pool: 'two' }, phase: 'rebooting' })
    expect(log.decide(advance('rebooting'))?.isAccepted).toBe(false)
    log.accept(advance('serving'))
    expect(log.state.virtualMachines.get('one-0')).toMatchObject({ value: { pool: 'two' }, phase: 'serving', operation: null })
  })

  it('refuses the late record of a holder that was paused past its lease', () => {
    const log = author()
    lease(log, 'control-a', 0)
    const old = { lease: 'operations', token: log.state.leases.get('operations')?.token ?? 0 }
    log.accept(start(log, 'one-0', 'two'))
    log.time += 12_000
    expect(lease(log, 'control-b', old.token)).toBe(true)
    const late = log.decide({ kind: 'advance-operation', virtualMachine: 'one-0', intentId: 'intent-one-0', toPhase: 'rebooting', proof: old })
    expect(late?.findings).toMatchObject([{ code: 'not-holder' }])
    expect(log.state.virtualMachines.get('one-0')?.phase).toBe('draining')
  })

  it('lets no second process take a lease before it lapses, and renews under the same token', () => {
    const log = author()
    expect(lease(log, 'control-a', 0)).toBe(true)
    const { token = 0 } = log.state.leases.get('operations') ?? {}
    log.time += 9_000
    expect(lease(log, 'control-b', token)).toBe(false)
    expect(lease(log, 'control-a', token)).toBe(true)
    expect(log.state.leases.get('operations')?.token).toBe(token)
  })
})

describe('upper limits', () => {
  const holder = (member: string) => ({ member, incarnation: `${member}-1` })
  const take = (member: string, sequence: number, units: number): Command => ({ kind: 'adjust-grants', holder: holder(member), sequence, changes: [{ team: 'team', units }] })

  it('grants what is free and no more', () => {
    const log = author()
    log.accept(take('entry-a', 1, 7), take('entry-b', 1, 7))
    expect([log.state.unitsHeldBy(holder('entry-a'), 'team'), log.state.unitsHeldBy(holder('entry-b'), 'team')]).toEqual([7, 3])
  })

  it('are divided among the living entry processes when a team is new', () => {
    const log = author()
    log.accept({ kind: 'put-team', value: { name: 'new', share: 1, upperLimit: 9 }, expectedVersion: 0 })
    expect([log.state.unitsHeldBy(holder('entry-a'), 'new'), log.state.unitsHeldBy(holder('entry-b'), 'new')]).toEqual([4, 4])
  })

  it('changes nothing when an append is repeated', () => {
    const log = author()
    log.accept(take('entry-a', 1, 4))
    expect(log.decide(take('entry-a', 1, 4))?.isAccepted).toBe(false)
    expect(log.state.grantedUnits('team')).toBe(4)
  })

  it('moves units from holder to holder without changing the sum', () => {
    const log = author()
    log.accept(take('entry-a', 1, 10))
    log.accept({ kind: 'transfer-grants', holder: holder('entry-a'), sequence: 2, to: holder('entry-b'), changes: [{ team: 'team', units: 6 }] })
    expect([log.state.unitsHeldBy(holder('entry-a'), 'team'), log.state.unitsHeldBy(holder('entry-b'), 'team')]).toEqual([4, 6])
  })

  it('returns a dead holder\'s units only after the last deadline of what it may have started', () => {
    const log = author()
    log.accept(take('entry-a', 1, 10), { kind: 'end-member', holder: holder('entry-a'), reason: 'gone' })
    expect(log.decide({ kind: 'return-grants', holder: holder('entry-a') })?.isAccepted).toBe(false)
    log.accept(take('entry-b', 1, 10))
    expect(log.state.grantedUnits('team')).toBe(10)
    expect(log.state.unitsHeldBy(holder('entry-b'), 'team')).toBe(0)
    log.time += log.state.longestTimeoutMilliseconds + 31_000
    log.accept({ kind: 'return-grants', holder: holder('entry-a') }, take('entry-b', 2, 10))
    expect(log.state.unitsHeldBy(holder('entry-b'), 'team')).toBe(10)
  })

  it('treats a restart as the end of the incarnation before, and ignores its late join', () => {
    const log = author()
    const member = log.state.members.get('entry-a')
    if (!member) throw new Error('no member')
    log.accept(take('entry-a', 1, 5))
    log.time += 1
    log.accept({ kind: 'join-member', value: { ...member, incarnation: 'entry-a-2', joinedAt: log.time } })
    expect(log.state.isRegistered(holder('entry-a'))).toBe(false)
    expect(log.decide({ kind: 'join-member', value: { ...member, joinedAt: member.joinedAt } })?.isAccepted).toBe(false)
    expect(log.decide(take('entry-a', 2, 1))?.findings).toMatchObject([{ code: 'not-holder' }])
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

  it('lets the first offset win, and keeps the first outcome', () => {
    const log = author()
    log.decide({ kind: 'record-claims', claims: [claim('first', log.time)] }, 'entry-a')
    log.decide({ kind: 'record-claims', claims: [claim('second', log.time)] }, 'entry-b')
    log.accept(outcome('second', 'not-run'), outcome('first', 'answered'), outcome('first', 'not-run'))
    expect(log.state.claims.get('a'.repeat(64))).toMatchObject({ requestId: 'first', outcome: { kind: 'answered' } })
  })

  it('frees a claim whose request provably never ran, and one that has expired', () => {
    const log = author()
    log.decide({ kind: 'record-claims', claims: [claim('first', log.time)] }, 'entry-a')
    log.accept(outcome('first', 'not-run'))
    log.decide({ kind: 'record-claims', claims: [claim('second', log.time)] }, 'entry-a')
    expect(log.state.claims.get('a'.repeat(64))?.requestId).toBe('second')
    log.time += 3_000
    log.decide({ kind: 'record-claims', claims: [claim('third', log.time)] }, 'entry-a')
    expect(log.state.claims.get('a'.repeat(64))?.requestId).toBe('third')
  })

  it('lets no single wrong clock expire claims', () => {
    const log = author()
    const far = { ...claim('first', log.time), expiryDeadline: log.time + 600_000 }
    log.decide({ kind: 'record-claims', claims: [far] }, 'entry-a')
    log.time += 86_400_000
    log.decide({ kind: 'record-claims', claims: [{ ...claim('second', log.time) }] }, 'entry-b')
    expect(log.state.claims.get('a'.repeat(64))?.requestId).toBe('first')
  })
})

describe('snapshots of the state', () => {
  it('restore exactly what was written down', () => {
    const log = author()
    lease(log, 'control-a', 0)
    log.accept(start(log, 'one-0', 'two'))
    const snapshot = log.state.toSnapshot()
    expect(FleetState.fromSnapshot(JSON.parse(JSON.stringify(snapshot))).toSnapshot()).toEqual(snapshot)
  })
})
