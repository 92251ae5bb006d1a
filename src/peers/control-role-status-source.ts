/**
 * The account of a process that serves no requests.
 */
import type { RoleStatus } from './role-status.js'
import { RoleStatusSource } from './role-status-source.js'

/** Control processes have no work on endpoints to tell of. */
export class ControlRoleStatusSource extends RoleStatusSource {
  override roleStatus (): RoleStatus {
    return { demands: [], grantUses: [], busyVirtualMachines: [], suspectedVirtualMachines: [] }
  }
}
