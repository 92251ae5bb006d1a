/**
 * Submission of commands to the log.
 */
import type { Command } from '../schemas/command.js'
import type { Holder } from '../schemas/holder.js'
import type { Clock } from '../supervision/clock.js'
import type { AppendPurpose } from './append-purpose.js'
import type { LogWriterTask } from './log-writer-task.js'
import type { StateKeeper } from './state-keeper.js'
import type { SubmissionResult } from './submission-result.js'

/** Options of a submission. */
interface SubmissionOptions {
  /** Id of the record; records with the same id are decided once. */
  readonly id: string
  readonly purpose: AppendPurpose
  /** Epoch milliseconds until which the append is retried and the decision is awaited. */
  readonly deadline: number
  readonly signal?: AbortSignal
}

/** Appends commands on behalf of one process and waits for their decisions. */
export class CommandSubmitter {
  constructor (
    private readonly _author: Holder,
    private readonly _writer: LogWriterTask,
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock
  ) {}

  /** Submits a command and waits until it is decided or the deadline passes. */
  async submit (command: Command, options: SubmissionOptions): Promise<SubmissionResult> {
    const { id, purpose, deadline, signal } = options
    if (!this._keeper.decisionOf(id)) {
      const record = { id, author: this._author, time: this._clock.now(), body: command }
      if (!this._writer.enqueue(record, purpose, deadline)) return { kind: 'shed', id }
    }
    const decision = await this._keeper.awaitDecision(id, deadline, signal)
    if (!decision) return { kind: 'unknown', id }
    return { kind: decision.isAccepted ? 'accepted' : 'refused', decision }
  }
}
