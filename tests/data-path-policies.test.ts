/**
 * The data path's policies against naive, all-knowing versions.
 */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { AttemptFailure } from '../src/endpoints/attempt-failure.js'
import { ConsecutiveFailureBreaker } from '../src/endpoints/consecutive-failure-breaker.js'
import type { EndpointCandidate } from '../src/endpoints/endpoint-candidate.js'
import { PowerOfTwoChooser } from '../src/endpoints/power-of-two-chooser.js'
import { BudgetedRetryPolicy } from '../src/entry/budgeted-retry-policy.js'
import { DemandGrantPolicy } from '../src/entry/demand-grant-policy.js'
import { DemandSlotDivision } from '../src/entry/demand-slot-division.js'
import { FairShareQueue } from '../src/entry/fair-share-queue.js'
import { LoanTable } from '../src/entry/loan-table.js'
import { weightedMaxMin } from '../src/entry/weighted-max-min.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { FakeClock } from './support/fake-clock.js'

const SEED = 20261204

describe('weightedMaxMin', () => {
  /** Pours the capacity out in small drops, each to the neediest claimant by weight. */
  function naive (capacity: number, claimants: readonly { weight: number, demand: number }[]): number[] {
    const drop = 0.01
    const given = claimants.map(() => 0)
    for (let poured = 0; poured < capacity; poured += drop) {
      let neediest = -1
      claimants.forEach((claimant, index) => {
        const has = given[index] ?? 0
        if (has + drop > claimant.demand) return
        const least = claimants[neediest]
        if (!least || has / claimant.weight < (given[neediest] ?? 0) / least.weight) neediest = index
      })
      if (neediest < 0) break
      given[neediest] = (given[neediest] ?? 0) + drop
    }
    return given
  }

  const claimant = fc.record({ weight: fc.integer({ min: 1, max: 8 }), demand: fc.integer({ min: 0, max: 30 }) })

  it('gives what pouring drop by drop gives', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 60 }), fc.array(claimant, { maxLength: 7 }), (capacity, claimants) => {
      const expected = naive(capacity, claimants)
      weightedMaxMin(capacity, claimants).forEach((given, index) => expect(Math.abs(given - (expected[index] ?? 0))).toBeLessThan(0.1))
    }), { seed: SEED, numRuns: 200 })
  })
})

describe('DemandSlotDivision', () => {
  const members = ['a', 'b', 'c', 'd']
  const team = fc.record({
    share: fc.integer({ min: 1, max: 8 }),
    limit: fc.integer({ min: 0, max: 40 }),
    demands: fc.array(fc.integer({ min: 0, max: 20 }), { minLength: 4, maxLength: 4 })
  })

  it('adds up over all processes to the central division, wherever the demand sits', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.array(team, { minLength: 1, maxLength: 6 }), (slots, teams) => {
      const input = teams.map((entry, index) => ({
        team: `team-${index}`, share: entry.share, limit: entry.limit, byMember: new Map(members.map((member, place) => [member, entry.demands[place] ?? 0]))
      }))
      const division = new DemandSlotDivision()
      const allotments = members.map(self => division.divide({ slots, self, members, teams: input }))
      const total = allotments.reduce((sum, allotment) => sum + allotment.total, 0)
      expect(total).toBeLessThanOrEqual(slots + 1e-9)
      const central = weightedMaxMin(slots, teams.map(entry => ({ weight: entry.share, demand: Math.min(entry.limit, entry.demands.reduce((sum, demand) => sum + demand, 0)) })))
      teams.forEach((_, index) => {
        const given = allotments.reduce((sum, allotment) => sum + (allotment.byTeam.get(`team-${index}`) ?? 0), 0)
        expect(given).toBeCloseTo(central[index] ?? 0, 6)
      })
    }), { seed: SEED, numRuns: 300 })
  })
})

describe('FairShareQueue', () => {
  it('gives slot time by weight, whatever the requests take and declare', () => {
    fc.assert(fc.property(fc.array(fc.record({ weight: fc.integer({ min: 1, max: 5 }), cost: fc.integer({ min: 1, max: 50 }) }), { minLength: 2, maxLength: 5 }), teams => {
      const queue = new FairShareQueue(() => true, team => teams[Number(team)]?.weight ?? 1, () => 10)
      const taken = teams.map(() => 0)
      let last = 0
      const run = (index: number) => async (): Promise<void> => {
        taken[index] = (taken[index] ?? 0) + (teams[index]?.cost ?? 0)
        last = index
      }
      teams.forEach((_, index) => { for (let count = 0; count < 3_000; count++) queue.enqueue(run(index), { id: `${index}-${count}`, team: String(index), isUrgent: false }) })
      for (let count = 0; count < 1_500; count++) {
        void queue.dequeue()?.()
        queue.charge(String(last), (teams[last]?.cost ?? 0) - 10)
      }
      const parts = teams.map(({ weight }, index) => (taken[index] ?? 0) / weight)
      // Apart by at most what the largest request and the first, still uncorrected charge can make.
      expect(Math.max(...parts) - Math.min(...parts)).toBeLessThanOrEqual(120)
    }), { seed: SEED, numRuns: 40 })
  })

  it('lets a team that comes back bring no credit and a team ahead wait no longer than the bound', () => {
    const queue = new FairShareQueue(() => true, () => 1, () => 10)
    const order: string[] = []
    const add = (team: string, count: number): void => {
      for (let index = 0; index < count; index++) queue.enqueue(async () => { order.push(team) }, { id: `${team}-${index}`, team, isUrgent: false })
    }
    add('busy', 100)
    for (let index = 0; index < 50; index++) void queue.dequeue()?.()
    add('idle', 50)
    for (let index = 0; index < 20; index++) void queue.dequeue()?.()
    expect(order.slice(50).filter(team => team === 'idle').length).toBeLessThanOrEqual(11)
    queue.charge('busy', 1e9)
    for (let index = 0; index < 300 && order.at(-1) !== 'busy'; index++) {
      add('idle', 1)
      void queue.dequeue()?.()
    }
    expect(order.at(-1)).toBe('busy')
  })

  it('never takes a request whose team may not start', () => {
    const allowed = new Set(['free'])
    const queue = new FairShareQueue(team => allowed.has(team ?? ''), () => 1, () => 10)
    queue.enqueue(async () => {}, { id: '1', team: 'bound', isUrgent: false })
    expect([queue.size, queue.dequeue()]).toEqual([0, undefined])
    allowed.add('bound')
    expect(queue.size).toBe(1)
  })
})

describe('DemandGrantPolicy', () => {
  const situation = fc.record({
    limit: fc.integer({ min: 0, max: 40 }),
    others: fc.integer({ min: 0, max: 40 }),
    held: fc.integer({ min: 0, max: 40 }),
    running: fc.integer({ min: 0, max: 40 }),
    waiting: fc.integer({ min: 0, max: 40 }),
    isActive: fc.boolean(),
    members: fc.integer({ min: 1, max: 10 }),
    tasksWaiting: fc.integer({ min: 0, max: 20 }),
    wanted: fc.array(fc.integer({ min: 1, max: 20 }), { maxLength: 3 })
  })

  it('gives away only what is idle, and asks only for what is free', () => {
    fc.assert(fc.property(situation, ({ limit, others, held, running, waiting, isActive, members, tasksWaiting, wanted }) => {
      const used = Math.min(running, held)
      const granted = held + others
      const wantedByOthers = new Map(wanted.map((units, index) => [`other-${index}`, units]))
      const plan = new DemandGrantPolicy().plan({ team: 'team', limit, granted, held, running: used, waiting, isActive, members, tasksWaiting, wantedByOthers })
      const given = Math.max(0, -plan.adjust) + (plan.transfer?.units ?? 0)
      expect(given).toBeLessThanOrEqual(held - used)
      expect(Math.max(0, plan.adjust)).toBeLessThanOrEqual(Math.max(0, limit - granted))
    }), { seed: SEED, numRuns: 500 })
  })
})

describe('LoanBook', () => {
  it('lets at most one side use a unit at any moment, whatever message is lost and whenever either looks', () => {
    const action = fc.record({ kind: fc.constantFrom('lend', 'settle', 'renew', 'wait'), isLost: fc.boolean(), milliseconds: fc.integer({ min: 0, max: 40_000 }) })
    return fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 30 }), async actions => {
      const clock = new FakeClock()
      const [lender, borrower] = [new LoanTable(clock), new LoanTable(clock)]
      const held = 5
      let count = 0
      const terms = () => ({ startDeadline: clock.now() + 30_000, endDeadline: clock.now() + 60_000 })
      for (const { kind, isLost, milliseconds } of actions) {
        if (kind === 'lend' && lender.lentUnits('team', null) < held) {
          const loan = { id: `loan-${count++}`, team: 'team', units: 1, lender: { member: 'lender', incarnation: '1' }, transferSequence: null, ...terms() }
          lender.putLent(loan)
          if (!isLost) borrower.putBorrowed(loan)
        } else if (kind === 'renew') {
          const [near] = borrower.borrowedEndingBefore('team', clock.now() + 10_000)
          const loan = near && lender.getLent(near.id)
          if (loan) {
            const extended = { ...loan, ...terms() }
            lender.putLent(extended)
            if (!isLost) borrower.putBorrowed(extended)
          }
        } else if (kind === 'settle') {
          const loan = borrower.removeIdleBorrowed('team', 1)
          if (loan && !isLost) lender.removeLent(loan.id)
        } else {
          await clock.advance(milliseconds)
        }
        expect(held - lender.lentUnits('team', null) + borrower.borrowedUnits('team', () => false)).toBeLessThanOrEqual(held)
      }
    }), { seed: SEED, numRuns: 60 })
  })
})

describe('BudgetedRetryPolicy', () => {
  it('adds at most a tenth to the load when everything fails, after what was saved', () => {
    const policy = new BudgetedRetryPolicy(new FakeClock(), new SeededRandomSource(SEED))
    const failure = new AttemptFailure('lost', 'vm', 'lost')
    const requests = 2_000
    let attempts = 0
    for (let request = 0; request < requests; request++) {
      policy.recordFirstAttempt()
      for (let tries = 1; ; tries++) {
        attempts += 1
        if (!policy.mayRetry(failure, tries)) break
      }
    }
    expect(attempts / requests).toBeLessThanOrEqual(1.2)
    expect(attempts).toBeGreaterThan(requests)
  })
})

describe('PowerOfTwoChooser', () => {
  const candidate = (virtualMachine: string, changes: Partial<EndpointCandidate> = {}): EndpointCandidate => (
    { virtualMachine, availabilityZone: 'a', slots: 8, inFlight: 0, reportedRunning: 0, latencyMilliseconds: 0, isEjected: false, ...changes })

  it('never chooses a full or ejected endpoint while others are well', () => {
    const chooser = new PowerOfTwoChooser(new SeededRandomSource(SEED))
    const candidates = [candidate('full', { inFlight: 8 }), candidate('ejected', { isEjected: true }), candidate('well'), candidate('also-well')]
    for (let index = 0; index < 200; index++) expect(chooser.choose(candidates, new Set()).extract()?.virtualMachine).toMatch(/well$/)
  })

  it('prefers the faster of equally loaded endpoints', () => {
    const chooser = new PowerOfTwoChooser(new SeededRandomSource(SEED))
    const candidates = [candidate('slow', { latencyMilliseconds: 300 }), candidate('fast', { latencyMilliseconds: 10 })]
    for (let index = 0; index < 100; index++) expect(chooser.choose(candidates, new Set()).extract()?.virtualMachine).toBe('fast')
  })

  it('doesn\'t let ejections empty a pool: with most ejected all are used', () => {
    const chooser = new PowerOfTwoChooser(new SeededRandomSource(SEED))
    const candidates = [candidate('a', { isEjected: true }), candidate('b', { isEjected: true }), candidate('c')]
    const chosen = new Set(Array.from({ length: 200 }, () => chooser.choose(candidates, new Set()).extract()?.virtualMachine))
    expect(chosen).toEqual(new Set(['a', 'b', 'c']))
  })

  it('avoids endpoints already tried, unless there is nothing else', () => {
    const chooser = new PowerOfTwoChooser(new SeededRandomSource(SEED))
    expect(chooser.choose([candidate('a'), candidate('b')], new Set(['a'])).extract()?.virtualMachine).toBe('b')
    expect(chooser.choose([candidate('a')], new Set(['a'])).extract()?.virtualMachine).toBe('a')
  })
})

describe('ConsecutiveFailureBreaker', () => {
  it('opens after three failures in a row, lets through after its time, and opens anew at once', () => {
    const breaker = new ConsecutiveFailureBreaker(new SeededRandomSource(SEED))
    breaker.recordFailure(0)
    breaker.recordFailure(0)
    expect(breaker.isOpen(0)).toBe(false)
    breaker.recordFailure(0)
    expect(breaker.isOpen(400)).toBe(true)
    expect([breaker.isOpen(1_000), breaker.isHalfOpen(1_000)]).toEqual([false, true])
    breaker.recordFailure(1_000)
    expect(breaker.isOpen(1_900)).toBe(true)
    breaker.recordSuccess()
    expect(breaker.isOpen(1_900)).toBe(false)
  })
})
