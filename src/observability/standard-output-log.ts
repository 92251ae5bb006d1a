/**
 * Decision log that writes to standard output.
 */
import { createLogger, format, transports, type Logger } from 'winston'
import type { Clock } from '../supervision/clock.js'
import { DecisionLog } from './decision-log.js'
import { DescriptorStream } from './descriptor-stream.js'
import { LogLineBudget } from './log-line-budget.js'
import type { Metrics } from './metrics.js'

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1

/** Bytes buffered for a slow reader before lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576

/** Time for which routine lines are collected, in milliseconds. Each write wakes another thread and then this one, which takes more processor time than the lines do. */
const COLLECTION_MILLISECONDS = 50

/** Writes JSON lines. Drops lines instead of blocking on a slow reader or failing when the reader has closed the pipe. */
export class StandardOutputLog extends DecisionLog {
  private readonly _stream: DescriptorStream
  private readonly _logger: Logger
  private readonly _budget = new LogLineBudget()
  private _isCollecting = false

  /**
   * @param process name of the process, added to every line.
   * @param descriptor file descriptor that the lines are written to.
   */
  constructor (process: string, private readonly _clock: Clock, private readonly _metrics: Metrics, descriptor = STANDARD_OUTPUT) {
    super()
    this._stream = new DescriptorStream(descriptor)
    // A closed pipe must not end the process; after the error the stream drops everything that is written.
    this._stream.on('error', () => this._metrics.count('logs.failed'))
    this._logger = createLogger({
      defaultMeta: { process },
      format: format.json(),
      transports: [new transports.Stream({ stream: this._stream })]
    })
  }

  override emit (event: string, fields: Parameters<DecisionLog['emit']>[1]): void {
    const now = this._clock.now()
    if (this._budget.isWindowOver(now)) this._startWindow(now)
    if (this._stream.writableLength > MAXIMUM_BUFFERED_BYTES || !this._budget.take(event)) {
      this._budget.drop(event)
      this._metrics.count('logs.dropped')
      return
    }
    const isRoutine = this._budget.isRoutine(event)
    if (isRoutine) this._collect(now)
    this._logger.info(event, { at: Math.round(now), ...fields })
    if (!isRoutine) this.flush()
  }

  /** Writes the lines that have been collected. */
  flush (): void {
    if (!this._isCollecting) return
    this._isCollecting = false
    this._stream.uncork()
  }

  private _collect (now: number): void {
    if (this._isCollecting) return
    this._isCollecting = true
    this._stream.cork()
    void this._clock.sleepUntil(now + COLLECTION_MILLISECONDS).then(() => this.flush())
  }

  private _startWindow (now: number): void {
    const dropped = this._budget.startWindow(now)
    if (dropped.size === 0) return
    const lines = [...dropped.values()].reduce((sum, count) => sum + count, 0)
    this._logger.info('lines dropped', { at: Math.round(now), lines, events: [...dropped].map(([event, count]) => `${event} ${count}`) })
  }
}
