/**
 * The decisions of the data path that have more than one way.
 */
import type { EndpointChooser } from '../endpoints/endpoint-chooser.js'
import type { GrantPolicy } from '../entry/grant-policy.js'
import type { RetryPolicy } from '../entry/retry-policy.js'
import type { SlotDivision } from '../entry/slot-division.js'

/** Policies in place of the default ones; benchmarks put the naive ones here. */
export interface Policies {
  readonly chooser?: EndpointChooser
  readonly division?: SlotDivision
  readonly grants?: GrantPolicy
  readonly retries?: RetryPolicy
}
