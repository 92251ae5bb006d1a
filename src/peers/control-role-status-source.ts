/**
 * The role-specific status of a control process.
 */
import type { RoleStatus } from './role-status.js'
import { RoleStatusSource } from './role-status-source.js'

/** Always empty: control processes send no requests to endpoints. */
export class ControlRoleStatusSource extends RoleStatusSource {
  override roleStatus (): RoleStatus {
    return { demands: [], grantUses: [], busyVirtualMachines: [], suspectedVirtualMachines: [] }
  }
}
