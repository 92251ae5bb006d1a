/**
 * The role-specific part of a member's status.
 */
import type { MemberEntry } from '../schemas/member-entry.js'

/** The fields of `MemberStatus` that depend on the member's role; a field without items is an empty array. */
export type Account = {
  [Field in 'demands' | 'grantUses' | 'busyVirtualMachines' | 'suspectedVirtualMachines']: NonNullable<MemberEntry[Field]>
}
