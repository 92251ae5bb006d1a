/**
 * Where a process's account of its work comes from.
 */
import type { RoleStatus } from './role-status.js'

/** Tells of the process's work; each role has its own. */
export abstract class RoleStatusSource {
  /** The account now. */
  abstract roleStatus (): RoleStatus
}
