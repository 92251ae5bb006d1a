/**
 * Applies commands to a fleet state through the fold, without a log.
 */
import type { Command } from '../../src/schemas/command.js'
import type { Decision } from '../../src/schemas/decision.js'
import type { LogRecord } from '../../src/schemas/log-record.js'
import { FleetState } from '../../src/state/fleet-state.js'
import { RecordFold } from '../../src/state/record-fold.js'

/** Creates log records as members of a fleet do, and folds each one at once. */
export class LogAuthor {
  readonly records: LogRecord[] = []
  time = 1_000_000
  private readonly _fold: RecordFold

  constructor (state = new FleetState()) {
    this._fold = new RecordFold(state)
  }

  get state (): FleetState {
    return this._fold.state
  }

  /** Folds a member's command and returns the decision. */
  decide (command: Command, member = 'operator', id = `record-${this.records.length}`): Decision | null {
    const record: LogRecord = { id, author: { member, incarnation: `${member}-1` }, time: this.time, body: command }
    this.records.push(record)
    return this._fold.fold(this.state.offset + 1, record)
  }

  /** Folds commands of the operator. Throws if one isn't accepted. */
  accept (...commands: Command[]): void {
    for (const command of commands) {
      const decision = this.decide(command)
      if (!decision?.isAccepted) throw new Error(`${command.kind}: ${JSON.stringify(decision?.findings)}`)
    }
  }

  /** Registers members. */
  join (role: 'entry' | 'control', ...names: string[]): void {
    for (const id of names) {
      this.accept({
        kind: 'join-member',
        value: { id, incarnation: `${id}-1`, role, availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: id, joinedAt: this.time }
      })
    }
  }
}
