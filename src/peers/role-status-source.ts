/**
 * The source of the role-specific part of a process's status.
 */
import type { RoleStatus } from './role-status.js'

/** Reports the process's current workload; each process role has its own implementation. */
export abstract class RoleStatusSource {
  /** The current role-specific status. */
  abstract roleStatus (): RoleStatus
}
