/**
 * Context in which the commands of the operators' program run.
 */
import type { AdministrationClient } from './administration-client.js'

/** Client and options that all commands share. */
export interface CommandContext {
  readonly client: AdministrationClient
  /** Whether to print JSON for scripts instead of tables. */
  readonly isJson: boolean
  /** Whether to wait until a change is in force everywhere. */
  readonly shouldWait: boolean
  /** Epoch milliseconds until which to wait at most. */
  readonly waitDeadline: number
  /** ID of the change, generated if the command line has none. */
  readonly changeId: string
  /** Version that the change is based on, or undefined to apply it to any version. */
  readonly ifMatch: number | undefined
}
