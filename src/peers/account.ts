/**
 * What a process tells its peers of its work.
 */
import type { MemberEntry } from '../schemas/member-entry.js'

/** The parts of a member's account that depend on its role. */
export type Account = {
  [Part in 'demands' | 'grantUses' | 'busyVirtualMachines' | 'suspectedVirtualMachines']: NonNullable<MemberEntry[Part]>
}
