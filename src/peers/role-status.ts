/**
 * The role-specific part of a member's status.
 */
import type { MemberStatus } from '../schemas/member-status.js'

/** The fields of `MemberStatus` that depend on the member's role; a field without items is an empty array. */
export type RoleStatus = {
  [Field in 'demands' | 'grantUses' | 'busyVirtualMachines' | 'suspectedVirtualMachines']: NonNullable<MemberStatus[Field]>
}
