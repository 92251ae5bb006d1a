/**
 * How entry processes divide upper limits.
 */
import type { GrantPlan } from './grant-plan.js'
import type { GrantSituation } from './grant-policy-input.js'

/** Decides about one team's grants at one process. */
export abstract class GrantPolicy {
  /** What to do now; never gives away units in use. */
  abstract plan (situation: GrantSituation): GrantPlan
}
