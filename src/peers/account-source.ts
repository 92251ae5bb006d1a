/**
 * Where a process's account of its work comes from.
 */
import type { Account } from './account.js'

/** Tells of the process's work; each role has its own. */
export abstract class AccountSource {
  /** The account now. */
  abstract account (): Account
}
