/**
 * The fold: takes records in the order of their offsets and decides each one.
 */
import type { Command } from '../schemas/command.js'
import type { Decision } from '../schemas/decision.js'
import type { LogRecord } from '../schemas/log-record.js'
import type { CommandHandler } from './command-handler.js'
import { COMMAND_HANDLERS } from './command-handlers.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Decisions on operators' changes that are kept, a day's worth at 3,700 a day. */
const MAXIMUM_DECISIONS = 4_000

/**
 * Most that one record moves the state's time forward, in milliseconds, so that one
 * author's wrong clock doesn't expire what all others rely on.
 */
const MAXIMUM_TIME_STEP_MILLISECONDS = 60_000

/** Decides records on a state. A command is accepted when the fold accepts it, not when an append answers. */
export class RecordFold {
  constructor (readonly state: FleetState) {}

  /**
   * Folds the record at the next offset.
   *
   * @returns the decision, or null for a record that decides nothing (a snapshot's piece,
   * an unreadable record, or a repeated append of a change decided before).
   */
  fold (offset: number, record: LogRecord | null): Decision | null {
    this.state.offset = offset
    if (!record || record.body.kind === 'snapshot-chunk') return null
    if (this.state.decisions.has(record.id)) return null
    this._advanceTime(record.time)
    const decision = this._decide(record, record.body, { offset, time: record.time, author: record.author })
    if (COMMAND_HANDLERS[record.body.kind].isOperatorChange) this._keep(decision)
    return decision
  }

  private _decide (record: LogRecord, command: Command, context: FoldContext): Decision {
    // The table pairs each kind with its handler; TypeScript cannot follow the pairing through a union.
    const handler = COMMAND_HANDLERS[command.kind] as CommandHandler
    const findings = handler.check(this.state, command, context)
    if (findings.length === 0) handler.apply(this.state, command, context)
    return {
      id: record.id,
      kind: command.kind,
      offset: context.offset,
      time: context.time,
      isAccepted: findings.length === 0,
      findings
    }
  }

  private _advanceTime (time: number): void {
    const { latestTime } = this.state
    if (time <= latestTime) return
    const furthest = latestTime === 0 ? time : latestTime + MAXIMUM_TIME_STEP_MILLISECONDS
    this.state.latestTime = Math.min(time, furthest)
    this._expireClaims()
  }

  /** Claims stand in the order of their making; expired ones are dropped from the front. */
  private _expireClaims (): void {
    for (const [key, claim] of this.state.claims) {
      if (claim.expiryDeadline > this.state.latestTime) return
      this.state.claims.delete(key)
    }
  }

  private _keep (decision: Decision): void {
    this.state.decisions.set(decision.id, decision)
    if (this.state.decisions.size <= MAXIMUM_DECISIONS) return
    const [oldest] = this.state.decisions.keys()
    if (oldest !== undefined) this.state.decisions.delete(oldest)
  }
}
