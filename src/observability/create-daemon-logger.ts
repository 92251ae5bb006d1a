/**
 * The logger of a daemon.
 */
import { createLogger, format, transports, type Logger } from 'winston'

/**
 * Writes JSON lines to the standard error stream.
 *
 * @param process name of the daemon, in every line.
 * @param level least severe level written.
 */
export function createDaemonLogger (process: string, level: 'error' | 'warn' | 'info' | 'debug'): Logger {
  return createLogger({
    level,
    defaultMeta: { process },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
}
