/**
 * Decision log that writes to standard output.
 */
import { createLogger, format, transports, type Logger } from 'winston'
import type { Clock } from '../supervision/clock.js'
import { DecisionLog } from './decision-log.js'
import { DescriptorStream } from './descriptor-stream.js'
import type { Metrics } from './metrics.js'

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1

/** Events that every request or run causes. */
const ROUTINE_EVENTS: ReadonlySet<string> = new Set(['job call', 'runs placed', 'runs completed', 'move ordered', 'move finished'])

/** Lines of routine events, and of all others, written per second; more are dropped and counted. Limits the processor time that logging takes. */
const MAXIMUM_LINES_PER_SECOND = { routine: 300, other: 150 } as const

/** Bytes buffered for a slow reader before lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576

/** Window to which the line limit applies; a shorter one would let more lines through per second. */
const WINDOW_MILLISECONDS = 1_000

/** Writes JSON lines. Drops lines instead of blocking on a slow reader or failing when the reader has closed the pipe. */
export class StandardOutputLog extends DecisionLog {
  private readonly _stream = new DescriptorStream(STANDARD_OUTPUT)
  private readonly _logger: Logger
  private _windowEnd = 0
  private _linesInWindow = { routine: 0, other: 0 }
  private _droppedLines = 0

  /** @param process name of the process, added to every line. */
  constructor (process: string, private readonly _clock: Clock, private readonly _metrics: Metrics) {
    super()
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
    if (now >= this._windowEnd) this._startWindow(now)
    // Under load, routine events must not push out those that explain a failure.
    const kind = ROUTINE_EVENTS.has(event) ? 'routine' : 'other'
    if (this._linesInWindow[kind] >= MAXIMUM_LINES_PER_SECOND[kind] || this._stream.writableLength > MAXIMUM_BUFFERED_BYTES) {
      this._droppedLines += 1
      this._metrics.count('logs.dropped')
      return
    }
    this._linesInWindow[kind] += 1
    this._logger.info(event, { at: Math.round(now), ...fields })
  }

  private _startWindow (now: number): void {
    this._windowEnd = now + WINDOW_MILLISECONDS
    this._linesInWindow = { routine: 0, other: 0 }
    if (this._droppedLines > 0) this._logger.info('lines dropped', { at: Math.round(now), lines: this._droppedLines })
    this._droppedLines = 0
  }
}
