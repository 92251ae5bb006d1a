/**
 * Writes snapshots of the state into the log before its retention removes the records they cover.
 */
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { LogWriterTask } from '../state/log-writer-task.js'
import { SnapshotCodec } from '../state/snapshot-codec.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'

/** Records after which a snapshot is written, by default. */
const RECORDS_BETWEEN_SNAPSHOTS = 2_000

/** Longest time between snapshots if there are new records, in milliseconds. */
const SNAPSHOT_INTERVAL_MILLISECONDS = 300_000

/** Time limit for writing the chunks of a snapshot, in milliseconds. */
const WRITE_TIMEOUT_MILLISECONDS = 30_000

/**
 * A reader whose next record has been removed from the log starts from the newest complete snapshot. A writer that
 * fails half way leaves chunks of an incomplete snapshot, which readers ignore; the next lease holder writes a new one.
 */
export class SnapshotTask extends LeasedTask {
  override readonly name = 'snapshots'
  protected override readonly leaseName = 'snapshots'
  protected override readonly stepIntervalMilliseconds = 1_000
  private readonly _codec = new SnapshotCodec()
  private _lastSnapshotOffset = 0
  private _nextSnapshotDeadline = 0

  /**
   * @param _writer writes the chunks to the log.
   * @param _recordsBetweenSnapshots records after which a snapshot is written. Default: 2,000.
   */
  constructor (
    context: ControlContext,
    private readonly _writer: LogWriterTask,
    private readonly _recordsBetweenSnapshots = RECORDS_BETWEEN_SNAPSHOTS
  ) {
    super(context)
  }

  protected override async step (_proof: LeaseProof, _signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.context
    const { offset } = keeper.state
    const isDue = offset >= this._lastSnapshotOffset + this._recordsBetweenSnapshots || clock.now() >= this._nextSnapshotDeadline
    if (!isDue || offset === this._lastSnapshotOffset) return
    this._write()
  }

  private _write (): void {
    const { keeper, clock, identifiers, metrics, self } = this.context
    const snapshot = keeper.state.toSnapshot()
    const deadline = clock.now() + WRITE_TIMEOUT_MILLISECONDS
    const chunks = this._codec.split(snapshot, identifiers.next())
    for (const body of chunks) {
      this._writer.enqueue({ id: identifiers.next(), author: self, time: clock.now(), body }, 'snapshots', deadline)
    }
    metrics.count('state.snapshots_written')
    metrics.setGauge('state.snapshot_bytes.level', chunks.reduce((sum, chunk) => sum + chunk.data.length, 0))
    // Chunks are records as well: if they counted as new ones, each snapshot would cause the next.
    this._lastSnapshotOffset = snapshot.offset + chunks.length
    this._nextSnapshotDeadline = clock.now() + SNAPSHOT_INTERVAL_MILLISECONDS
  }
}
