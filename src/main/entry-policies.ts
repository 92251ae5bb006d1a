/**
 * Interchangeable policies of the data path.
 */
import type { EndpointChooser } from '../endpoints/endpoint-chooser.js'
import type { GrantPolicy } from '../entry/grant-policy.js'
import type { RetryPolicy } from '../entry/retry-policy.js'
import type { SlotDivision } from '../entry/slot-division.js'

/** Policies that replace the default ones; benchmarks pass simple ones for comparison. */
export interface EntryPolicies {
  readonly chooser?: EndpointChooser
  readonly division?: SlotDivision
  readonly grants?: GrantPolicy
  readonly retries?: RetryPolicy
}
