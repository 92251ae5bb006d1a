/**
 * Writes snapshots into the log ahead of its retention.
 */
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { LogWriterTask } from '../state/log-writer-task.js'
import { SnapshotCodec } from '../state/snapshot-codec.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'

/** Records after which a snapshot is written. */
const RECORDS_BETWEEN = 2_000

/** Time after which one is written at the latest if there are any new records, in milliseconds. */
const MILLISECONDS_BETWEEN = 300_000

/** How long its pieces are tried, in milliseconds. */
const WRITE_TIMEOUT_MILLISECONDS = 30_000

/**
 * A reader whose place was cut away starts from the newest whole snapshot. A writer that
 * dies half way leaves pieces that no reader takes; its successor writes a new one.
 */
export class SnapshotTask extends LeasedTask {
  override readonly name = 'snapshots'
  protected override readonly lease = 'snapshots'
  protected override readonly stepMilliseconds = 1_000
  private readonly _codec = new SnapshotCodec()
  private _writtenOffset = 0
  private _nextDeadline = 0

  /**
   * @param _writer through which the pieces go to the log.
   * @param _recordsBetween records after which a snapshot is written. Default: 2,000.
   */
  constructor (
    parts: ControlContext,
    private readonly _writer: LogWriterTask,
    private readonly _recordsBetween = RECORDS_BETWEEN
  ) {
    super(parts)
  }

  protected override async step (_proof: LeaseProof, _signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.parts
    const { offset } = keeper.state
    const isDue = offset >= this._writtenOffset + this._recordsBetween || clock.now() >= this._nextDeadline
    if (!isDue || offset === this._writtenOffset) return
    this._write()
  }

  private _write (): void {
    const { keeper, clock, identifiers, metrics, self } = this.parts
    const snapshot = keeper.state.toSnapshot()
    const deadline = clock.now() + WRITE_TIMEOUT_MILLISECONDS
    const chunks = this._codec.split(snapshot, identifiers.next())
    for (const body of chunks) {
      this._writer.enqueue({ id: identifiers.next(), author: self, time: clock.now(), body }, 'snapshots', deadline)
    }
    metrics.count('state.snapshots_written')
    metrics.level('state.snapshot_bytes.level', chunks.reduce((sum, chunk) => sum + chunk.data.length, 0))
    // The pieces themselves are records; without counting them each snapshot would call for the next.
    this._writtenOffset = snapshot.offset + chunks.length
    this._nextDeadline = clock.now() + MILLISECONDS_BETWEEN
  }
}
