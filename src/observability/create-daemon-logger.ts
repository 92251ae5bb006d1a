/**
 * Logger of the entry and control daemons.
 */
import { createLogger, format, transports, type Logger } from 'winston'

/**
 * Creates a logger that writes JSON lines to standard error.
 *
 * @param process name of the process, added to every line.
 * @param level least severe level that is written.
 */
export function createDaemonLogger (process: string, level: 'error' | 'warn' | 'info' | 'debug'): Logger {
  return createLogger({
    level,
    defaultMeta: { process },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
}
