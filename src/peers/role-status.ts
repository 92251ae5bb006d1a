/**
 * What a process tells its peers of its work.
 */
import type { MemberStatus } from '../schemas/member-status.js'

/** The parts of a member's account that depend on its role. */
export type RoleStatus = {
  [Part in 'demands' | 'grantUses' | 'busyVirtualMachines' | 'suspectedVirtualMachines']: NonNullable<MemberStatus[Part]>
}
