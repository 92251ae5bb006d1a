/**
 * Submits commands and waits for the fold's verdict.
 */
import type { Command } from '../schemas/command.js'
import type { Holder } from '../schemas/holder.js'
import type { Clock } from '../supervision/clock.js'
import type { AppendPurpose } from './append-purpose.js'
import type { LogWriterTask } from './log-writer-task.js'
import type { StateKeeper } from './state-keeper.js'
import type { SubmissionResult } from './submission-result.js'

/** What a submission needs beside its command. */
interface SubmissionOptions {
  /** Identity of the record; the same id is decided once. */
  readonly id: string
  readonly purpose: AppendPurpose
  /** Epoch milliseconds until which it is appended and awaited. */
  readonly deadline: number
  readonly signal?: AbortSignal
}

/** Writes commands in the name of one process. */
export class CommandSubmitter {
  constructor (
    private readonly _author: Holder,
    private readonly _writer: LogWriterTask,
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock
  ) {}

  /** Submits a command and waits until the fold has decided it or the deadline passes. */
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
