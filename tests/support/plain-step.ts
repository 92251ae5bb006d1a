/**
 * A step that tests vary.
 */
import type { StepDefinition } from '../../src/jobs/step-definition.js'

/** One ordinary task of a second on four processors. */
export const PLAIN_STEP: StepDefinition = {
  count: 1,
  demand: { millicores: 4_000, memoryMegabytes: 1_000, accelerators: 0 },
  estimateMilliseconds: 1_000,
  after: [],
  savesProgress: false,
  isGang: false,
  prefersOneRack: false,
  requiredLabel: '',
  preferredRack: '',
  maximumPerWorker: 0,
  isSpeculative: false,
  isLasting: false,
  image: '',
  targetLatencyMilliseconds: 0,
  isFiller: false,
  disruptionBudget: 0
}
