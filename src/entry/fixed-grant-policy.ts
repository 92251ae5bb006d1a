/**
 * The naive division of limits, kept as the yardstick of benchmarks.
 */
import type { GrantPlan } from './grant-plan.js'
import { GrantPolicy } from './grant-policy.js'
import type { GrantSituation } from './grant-policy-input.js'

/** Each process keeps an even part of the limit, wherever the work is. */
export class FixedGrantPolicy extends GrantPolicy {
  override plan ({ limit, granted, held, running, members }: GrantSituation): GrantPlan {
    const part = Math.floor(limit / Math.max(1, members))
    const missing = Math.min(part - held, limit - granted)
    if (missing > 0) return { adjust: missing, transfer: null }
    return { adjust: -Math.max(0, held - Math.max(part, running)), transfer: null }
  }
}
