/**
 * A move of a VM in progress.
 */

/** A move in progress; times are in epoch milliseconds, 0 for not yet. */
export interface VirtualMachineMove {
  readonly virtualMachine: string
  /** Pool that the VM leaves; empty if the move is inherited. */
  readonly from: string
  readonly to: string
  /** When this owner began with it. */
  readonly startedAt: number
  /** When the newest order was sent. */
  sentAt: number
  /** When the platform confirmed that the order was carried out. */
  completedAt: number
  /** Whether an earlier owner has ordered it, so that it may be carried out before this owner orders it. */
  readonly isInherited: boolean
  /** Whether an order awaits its response. */
  isInFlight: boolean
  /** Whether the outcome of an order of this owner is unknown, so that it may still be carried out. */
  isUncertain: boolean
}
