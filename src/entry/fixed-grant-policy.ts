/**
 * A static grant policy; the baseline for benchmarks.
 */
import type { GrantPlan } from './grant-plan.js'
import { GrantPolicy } from './grant-policy.js'
import type { GrantPolicyInput } from './grant-policy-input.js'

/** Gives each process an even fraction of the limit, whatever the demand. */
export class FixedGrantPolicy extends GrantPolicy {
  override plan ({ limit, granted, held, running, members }: GrantPolicyInput): GrantPlan {
    const evenUnits = Math.floor(limit / Math.max(1, members))
    const missing = Math.min(evenUnits - held, limit - granted)
    if (missing > 0) return { adjust: missing, transfer: null }
    return { adjust: -Math.max(0, held - Math.max(evenUnits, running)), transfer: null }
  }
}
