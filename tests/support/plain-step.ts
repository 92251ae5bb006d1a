/**
 * A basic step definition for tests.
 */
import type { StepDefinition } from '../../src/jobs/step-definition.js'

/** One task on four processors, with an estimated duration of a second and no constraints. */
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
