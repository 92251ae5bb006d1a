/**
 * What every command of the operators' program has at hand.
 */
import type { AdministrationClient } from './administration-client.js'

/** Connection and options that all commands share. */
export interface CommandContext {
  readonly client: AdministrationClient
  /** Print JSON for scripts in place of tables for people. */
  readonly isJson: boolean
  /** Wait until a change is in force everywhere. */
  readonly isWaiting: boolean
  /** Epoch milliseconds until which to wait. */
  readonly waitDeadline: number
  /** Identity of the change, minted if not given. */
  readonly changeId: string
  /** Version that a change is based on, or undefined. */
  readonly ifMatch: number | undefined
}
