/**
 * The fencing check.
 */
import type { Finding } from '../schemas/finding.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { FleetState } from './fleet-state.js'

/**
 * Whether the author still holds the lease that it wrote under. A holder that was paused
 * past its lease is found out here, because its successor's token is another.
 */
export function leaseFindings (state: FleetState, proof: LeaseProof): Finding[] {
  const lease = state.leases.get(proof.lease)
  if (lease && lease.token === proof.token) return []
  return [{ path: '$.proof', code: 'not-holder', message: `lease ${proof.lease} is no longer held under token ${proof.token}` }]
}
