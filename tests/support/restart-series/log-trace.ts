/**
 * The logs of all processes of a fleet, also of those that were killed.
 */
import type { EmulatedFleet } from '../emulated-fleet.js'

/** An event of a process. */
interface LogLine {
  /** Epoch milliseconds. */
  readonly at: number
  readonly process: string
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Records the events with their times. To be created before the processes are started. */
export class LogTrace {
  readonly lines: LogLine[] = []

  constructor (fleet: EmulatedFleet) {
    const start = fleet.start.bind(fleet)
    fleet.start = (...processArguments) => {
      const node = start(...processArguments)
      const emit = node.log.emit.bind(node.log)
      node.log.emit = (event, fields) => {
        this.lines.push({ at: fleet.clock.now(), process: processArguments[0], event, fields })
        emit(event, fields)
      }
      return node
    }
  }

  /** Returns which evidence gave a run up last before a time; empty if none did. */
  causeOf (task: string, run: number, before: number): string {
    return String(this.lines.findLast(({ at, event, fields }) => event === 'run lost' && fields['task'] === task && fields['run'] === run && at <= before)?.fields['cause'] ?? '')
  }

  /** Returns the lines about a task or one of several workers, and the beginnings of terms, for a report. */
  describe (task: string, workers: ReadonlySet<string>, startedAt: number): string[] {
    const isAbout = ({ event, fields }: LogLine): boolean => event === 'term begins' || fields['task'] === task || workers.has(String(fields['worker']))
    return this.lines.filter(isAbout).map(({ at, process, event, fields }) => `${at - startedAt} ${process} ${event} ${JSON.stringify(fields)}`)
  }
}
