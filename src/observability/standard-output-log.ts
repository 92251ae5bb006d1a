/**
 * The decision log on standard output.
 */
import { createLogger, format, transports, type Logger } from 'winston'
import type { Clock } from '../supervision/clock.js'
import { DecisionLog } from './decision-log.js'
import { DescriptorStream } from './descriptor-stream.js'
import type { Metrics } from './metrics.js'

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1

/** Lines a second that are written; more are counted as dropped. Bounds the processor time that logging may take. */
const LINES_PER_SECOND = 400

/** Bytes that may wait for a slow reader before lines are dropped. */
const MAXIMUM_WAITING_BYTES = 1_048_576

/** One millisecond short of a second is never counted as one. */
const SECOND_MILLISECONDS = 1_000

/** Writes JSON lines, and drops them rather than wait for a slow reader or end with a broken one. */
export class StandardOutputLog extends DecisionLog {
  private readonly _stream = new DescriptorStream(STANDARD_OUTPUT)
  private readonly _logger: Logger
  private _windowEnd = 0
  private _written = 0
  private _dropped = 0

  /** @param process name of the process, in every line. */
  constructor (process: string, private readonly _clock: Clock, private readonly _metrics: Metrics) {
    super()
    // A reader that is gone must not end the process; whatever is written afterwards is dropped by the stream.
    this._stream.on('error', () => this._metrics.count('logs.failed'))
    this._logger = createLogger({
      defaultMeta: { process },
      format: format.json(),
      transports: [new transports.Stream({ stream: this._stream })]
    })
  }

  override emit (event: string, fields: Parameters<DecisionLog['emit']>[1]): void {
    const now = this._clock.now()
    if (now >= this._windowEnd) this._startWindow(now)
    if (this._written >= LINES_PER_SECOND || this._stream.writableLength > MAXIMUM_WAITING_BYTES) {
      this._dropped += 1
      this._metrics.count('logs.dropped')
      return
    }
    this._written += 1
    this._logger.info(event, { at: Math.round(now), ...fields })
  }

  private _startWindow (now: number): void {
    this._windowEnd = now + SECOND_MILLISECONDS
    this._written = 0
    if (this._dropped > 0) this._logger.info('lines dropped', { at: Math.round(now), lines: this._dropped })
    this._dropped = 0
  }
}
