/**
 * Check of fencing tokens.
 */
import type { Finding } from '../schemas/finding.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { FleetState } from './fleet-state.js'

/**
 * Checks that the lease under which a command was written is still held under the same token.
 * This refuses commands of a holder that was paused past the expiry of its lease, because its
 * successor holds the lease under another token.
 */
export function leaseFindings (state: FleetState, proof: LeaseProof): Finding[] {
  const lease = state.leases.get(proof.lease)
  if (lease && lease.token === proof.token) return []
  return [{ path: '$.proof', code: 'not-holder', message: `lease ${proof.lease} is no longer held under token ${proof.token}` }]
}
