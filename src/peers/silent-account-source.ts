/**
 * The account of a process that serves no requests.
 */
import type { Account } from './account.js'
import { AccountSource } from './account-source.js'

/** Control processes have no work on endpoints to tell of. */
export class SilentAccountSource extends AccountSource {
  override account (): Account {
    return { demands: [], grantUses: [], busyVirtualMachines: [], suspectedVirtualMachines: [] }
  }
}
