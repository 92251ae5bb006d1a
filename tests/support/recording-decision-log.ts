/**
 * A decision log that keeps its lines.
 */
import { DecisionLog } from '../../src/observability/decision-log.js'

/** Tests look up what was decided and why. */
export class RecordingDecisionLog extends DecisionLog {
  readonly lines: { event: string, fields: Parameters<DecisionLog['emit']>[1] }[] = []

  override emit (event: string, fields: Parameters<DecisionLog['emit']>[1]): void {
    this.lines.push({ event, fields })
  }

  /** Lines of one event. */
  fieldsOf (event: string): Parameters<DecisionLog['emit']>[1][] {
    return this.lines.filter(line => line.event === event).map(({ fields }) => fields)
  }
}
