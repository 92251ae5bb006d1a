/**
 * Tells the owners that the previous incarnation of this process has ended.
 */
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import type { SubmissionWriterTask } from '../jobs/submission-writer-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import { aborted } from '../supervision/aborted.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { TermHolder } from './term-holder.js'

/** Timeout of one attempt to write the record, in milliseconds. */
const WRITE_TIMEOUT_MILLISECONDS = 2_000

/**
 * Writes it once, if that incarnation was the last one to extend leases and hasn't released its term. Without that, the next owner has to assume that it goes on renewing leases, as an
 * owner without the store does, and leaves the tasks of workers that it can't reach waiting for so long.
 */
export class HolderEndTask extends Task {
  override readonly name = 'holder-end'

  /** @param _holder this incarnation of the process. */
  constructor (private readonly _holder: TermHolder, private readonly _decisions: JournalFollowerTask, private readonly _writer: SubmissionWriterTask, private readonly _clock: Clock, private readonly _log: DecisionLog) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!this._decisions.isLoaded && !signal.aborted) await this._decisions.changed.wait(this._clock, Infinity, signal)
    const { renewals } = this._decisions.jobTable.term
    if (renewals?.process === this._holder.process && renewals.holder !== this._holder.name && renewals.until > renewals.at) await this._write(renewals.holder, signal)
    await aborted(signal)
  }

  private async _write (holder: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const result = await this._writer.write({ kind: 'holder-end', process: this._holder.process, holder }, this._clock.now() + WRITE_TIMEOUT_MILLISECONDS)
      this._log.emit('holder end announced', { holder, outcome: result })
      if (result === 'written') return
      await this._clock.sleepUntil(this._clock.now() + WRITE_TIMEOUT_MILLISECONDS, signal).catch(() => {})
    }
  }
}
