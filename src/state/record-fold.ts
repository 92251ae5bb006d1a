/**
 * Fold of the log: applies records to the state in the order of their offsets.
 */
import type { Command } from '../schemas/command.js'
import type { Decision } from '../schemas/decision.js'
import type { LogRecord } from '../schemas/log-record.js'
import type { CommandHandler } from './command-handler.js'
import { COMMAND_HANDLERS } from './command-handlers.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Maximum number of stored decisions on operators' changes: enough for one day at 3,700 changes a day. */
const MAXIMUM_DECISIONS = 4_000

/**
 * Largest advance of the state's time by one record, so that an author whose clock is ahead
 * doesn't expire claims that other processes rely on.
 */
const MAXIMUM_TIME_STEP_MILLISECONDS = 60_000

/** Decides the commands in records and applies accepted ones. A successful append doesn't imply that its command is accepted. */
export class RecordFold {
  constructor (readonly state: FleetState) {}

  /**
   * Applies the record at the next offset.
   *
   * @param record the record, or null if it is unreadable.
   * @returns the decision; null for a snapshot chunk, an unreadable record, or a repeated append
   * of an operator's change that is already decided.
   */
  fold (offset: number, record: LogRecord | null): Decision | null {
    this.state.offset = offset
    if (!record || record.body.kind === 'snapshot-chunk') return null
    if (this.state.decisions.has(record.id)) return null
    this._advanceTime(record.time)
    const decision = this._decide(record, record.body, { offset, time: record.time, author: record.author })
    if (COMMAND_HANDLERS[record.body.kind].isOperatorChange) this._storeDecision(decision)
    return decision
  }

  private _decide (record: LogRecord, command: Command, context: FoldContext): Decision {
    // The table maps each kind to its own handler type; TypeScript can't track this relation through a union.
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
    const latestAllowed = latestTime === 0 ? time : latestTime + MAXIMUM_TIME_STEP_MILLISECONDS
    this.state.latestTime = Math.min(time, latestAllowed)
    this._expireClaims()
  }

  /** Removes expired claims from the front of the map, up to the first claim in creation order that hasn't expired. */
  private _expireClaims (): void {
    for (const [key, claim] of this.state.claims) {
      if (claim.expiryDeadline > this.state.latestTime) return
      this.state.claims.delete(key)
    }
  }

  private _storeDecision (decision: Decision): void {
    this.state.decisions.set(decision.id, decision)
    if (this.state.decisions.size <= MAXIMUM_DECISIONS) return
    const [oldest] = this.state.decisions.keys()
    if (oldest !== undefined) this.state.decisions.delete(oldest)
  }
}
