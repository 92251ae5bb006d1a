/**
 * The role-specific status of a control process.
 */
import type { Account } from './account.js'
import { AccountSource } from './account-source.js'

/** Always empty: control processes send no requests to endpoints. */
export class SilentAccountSource extends AccountSource {
  override account (): Account {
    return { demands: [], grantUses: [], busyVirtualMachines: [], suspectedVirtualMachines: [] }
  }
}
