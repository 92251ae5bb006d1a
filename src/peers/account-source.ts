/**
 * The source of the role-specific part of a process's status.
 */
import type { Account } from './account.js'

/** Reports the process's current workload; each process role has its own implementation. */
export abstract class AccountSource {
  /** The current role-specific status. */
  abstract account (): Account
}
