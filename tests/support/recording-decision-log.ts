/**
 * A decision log that records its events in memory.
 */
import { DecisionLog } from '../../src/observability/decision-log.js'

/** Records events, so that tests can look up which decisions were made and why. */
export class RecordingDecisionLog extends DecisionLog {
  readonly entries: { event: string, fields: Parameters<DecisionLog['emit']>[1] }[] = []

  override emit (event: string, fields: Parameters<DecisionLog['emit']>[1]): void {
    this.entries.push({ event, fields })
  }

  /** Fields of each occurrence of an event. */
  fieldsOf (event: string): Parameters<DecisionLog['emit']>[1][] {
    return this.entries.filter(entry => entry.event === event).map(({ fields }) => fields)
  }
}
