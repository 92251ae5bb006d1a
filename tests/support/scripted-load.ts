/**
 * A processor load that a test sets.
 */
import { ProcessorLoad } from '../../src/observability/processor-load.js'

/** Reports an idle process until the test says otherwise. */
export class ScriptedLoad extends ProcessorLoad {
  override utilization = 0
}
