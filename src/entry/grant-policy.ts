/**
 * The interface of policies that divide upper limits among entry processes.
 */
import type { GrantPlan } from './grant-plan.js'
import type { GrantPolicyInput } from './grant-policy-input.js'

/** Plans changes to one team's grants at one process. */
export abstract class GrantPolicy {
  /** Plans the next change; never returns or transfers units that are in use. */
  abstract plan (input: GrantPolicyInput): GrantPlan
}
