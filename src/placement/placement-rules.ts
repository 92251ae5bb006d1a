/**
 * What decides on placements.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { WorkerSelection } from '../worker-health/worker-selection.js'
import type { AdviceTask } from './advice-task.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { PlacementTurns } from './placement-turns.js'
import type { StepRanking } from './step-ranking.js'

/** The ranks of waiting steps, the policy that orders them, the turns of those that have waited for long, the preference for healthy workers, the configuration of queues and teams, and the advice on workers. */
export interface PlacementRules {
  readonly ranking: StepRanking
  readonly policy: PlacementPolicy
  readonly turns: PlacementTurns
  readonly selection: WorkerSelection
  readonly configuration: ConfigurationFollowerTask
  readonly advice: AdviceTask
}
