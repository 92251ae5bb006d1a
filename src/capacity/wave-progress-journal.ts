/**
 * The progress of maintenance waves in the journal.
 */
import type { JobTable } from '../jobs/job-table.js'
import type { WaveProgress } from '../jobs/wave-progress.js'
import type { DecisionWriterTask } from '../scheduling/decision-writer-task.js'

/** Reads and writes how far waves have got, so that the next owner continues them. */
export class WaveProgressJournal {
  /** Newest progress by wave, including records that are still being written. */
  private readonly _latest = new Map<number, WaveProgress>()

  constructor (private readonly _jobTable: JobTable, private readonly _writer: DecisionWriterTask) {}

  /** Returns the progress of a wave that the journal has. */
  read (wave: number): WaveProgress {
    return this._jobTable.wave(wave) ?? { wave, ordered: [], begun: [], confirmed: [], isCompleted: false }
  }

  /** Writes the union of the newest progress and `progress`. An order is recorded before it is sent. */
  write (progress: WaveProgress): void {
    const latest = this._latest.get(progress.wave) ?? progress
    const merged = {
      wave: progress.wave,
      ordered: [...new Set([...latest.ordered, ...progress.ordered])],
      begun: [...new Set([...latest.begun, ...progress.begun])],
      confirmed: [...new Map([...latest.confirmed, ...progress.confirmed].map(confirmation => [confirmation.virtualMachine, confirmation])).values()],
      isCompleted: latest.isCompleted || progress.isCompleted
    }
    this._latest.set(progress.wave, merged)
    this._writer.append({ kind: 'wave', progress: merged })
  }
}
