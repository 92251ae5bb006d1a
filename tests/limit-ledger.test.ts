/**
 * Tests of units that are lent between entry processes while a transfer of the same units is undecided in the log. No
 * unit may be usable at both, or counted as held and as borrowed, whichever message is lost.
 */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { LimitLedger } from '../src/entry/limit-ledger.js'
import { LoanTable } from '../src/entry/loan-table.js'
import { MemoryMetrics } from '../src/observability/memory-metrics.js'
import type { Command } from '../src/schemas/command.js'
import type { Loan } from '../src/schemas/loan.js'
import { StateKeeper } from '../src/state/state-keeper.js'
import { FakeClock } from './support/fake-clock.js'

const LIMIT = 6
const LENDER = { member: 'lender', incarnation: '1' }
const BORROWER = { member: 'borrower', incarnation: '1' }

/** A lender that holds all units and a borrower that holds none; each reads the same log independently. */
class LendingPair {
  readonly clock = new FakeClock()
  readonly records: { offset: number, record: unknown }[] = []
  readonly lenderLoans = new LoanTable(this.clock)
  readonly borrowerLoans = new LoanTable(this.clock)
  private readonly _lenderKeeper = new StateKeeper(this.clock, new MemoryMetrics())
  private readonly _borrowerKeeper = new StateKeeper(this.clock, new MemoryMetrics())
  readonly lender = new LimitLedger(this._lenderKeeper, LENDER, this.lenderLoans)
  readonly borrower = new LimitLedger(this._borrowerKeeper, BORROWER, this.borrowerLoans)
  private _loanCount = 0
  private _transfer: { command: Command, id: string, sequence: number } | null = null

  constructor () {
    for (const holder of [LENDER, BORROWER]) {
      this._append({ kind: 'join-member', value: { id: holder.member, incarnation: '1', role: 'entry', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: holder.member, joinedAt: 1 } })
    }
    this._append({ kind: 'put-team', value: { name: 'team', share: 1, upperLimit: LIMIT }, expectedVersion: 0 })
    this._append({ kind: 'transfer-grants', holder: BORROWER, sequence: 1, to: LENDER, changes: [{ team: 'team', units: LIMIT / 2 }] })
    this.readLender()
    this.readBorrower()
  }

  /** Units that the two processes together may use. */
  get usable (): number {
    return Math.max(0, this.lender.usable('team')) + Math.max(0, this.borrower.usable('team'))
  }

  /** Starts a transfer of units at the lender; its record isn't appended yet. */
  startTransfer (units: number): void {
    const sequence = (this._lenderKeeper.state.members.get('lender')?.grantSequence ?? 0) + 1
    if (this._transfer || units > this.lender.usable('team')) return
    const command: Command = { kind: 'transfer-grants', holder: LENDER, sequence, to: BORROWER, changes: [{ team: 'team', units }] }
    this._transfer = { command, id: `transfer-${sequence}`, sequence }
    this.lender.withhold('team', units)
    this.lender.recordTransfer(BORROWER, sequence)
  }

  /** Appends the transfer's record; the lender gets no response. */
  appendTransfer (): void {
    if (this._transfer) this._append(this._transfer.command, this._transfer.id)
  }

  readLender (): void {
    this._lenderKeeper.applyRecords(this.records)
    const decision = this._transfer && this._lenderKeeper.decisionOf(this._transfer.id)
    if (!decision) return
    this._transfer = null
    this.lender.releaseWithheld(decision.isAccepted)
  }

  readBorrower (): void {
    this._borrowerKeeper.applyRecords(this.records)
  }

  /** Lends a unit to the borrower. If `isLost`, the loan doesn't reach the borrower. */
  lend (isLost: boolean): void {
    const transfer = this.lender.undecidedTransfer('team')
    const available = transfer ? transfer.units - this.lenderLoans.lentUnitsOfTransfer('team', transfer.sequence) : this.lender.usable('team')
    if (available <= 0) return
    const now = this.clock.now()
    const loan: Loan = {
      id: `loan-${this._loanCount++}`, team: 'team', units: 1, lender: LENDER, transferSequence: transfer?.sequence ?? null, startDeadline: now + 30_000, endDeadline: now + 60_000
    }
    this.lenderLoans.putLent(loan)
    if (!isLost) this.borrowerLoans.putBorrowed(loan)
  }

  private _append (body: Command, id = `record-${this.records.length}`): void {
    this.records.push({ offset: this.records.length + 1, record: { id, author: LENDER, time: this.clock.now(), body } })
  }
}

describe('lending of units under transfer', () => {
  it('lets the receiver use them before the transfer is decided, and counts them once when it is decided', () => {
    const pair = new LendingPair()
    pair.startTransfer(4)
    for (let count = 0; count < 6; count++) pair.lend(false)
    expect([pair.lender.usable('team'), pair.borrower.usable('team')]).toEqual([2, 4])
    pair.appendTransfer()
    pair.readBorrower()
    expect([pair.lender.usable('team'), pair.borrower.usable('team')]).toEqual([2, 4])
    pair.readLender()
    expect([pair.lender.usable('team'), pair.borrower.usable('team')]).toEqual([2, 4])
  })

  it('never lets both processes use a unit, whichever message is lost, whenever the transfer is appended and whichever reads it first', async () => {
    const action = fc.record({ kind: fc.constantFrom('transfer', 'land', 'readLender', 'readBorrower', 'lend', 'wait'), isLost: fc.boolean(), amount: fc.integer({ min: 1, max: 6 }) })
    await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 40 }), async actions => {
      const pair = new LendingPair()
      for (const { kind, isLost, amount } of actions) {
        if (kind === 'transfer') pair.startTransfer(amount)
        if (kind === 'land') pair.appendTransfer()
        if (kind === 'readLender') pair.readLender()
        if (kind === 'readBorrower') pair.readBorrower()
        if (kind === 'lend') pair.lend(isLost)
        if (kind === 'wait') await pair.clock.advance(amount * 5_000)
        expect(pair.usable).toBeLessThanOrEqual(LIMIT)
      }
    }), { seed: 20261204, numRuns: 400 })
  })
})
