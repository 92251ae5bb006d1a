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
  /** When the first order of this owner was sent whose outcome is unknown. */
  uncertainSince: number
  /** Until when an order of this owner whose outcome is unknown may still be carried out. */
  uncertainUntil: number
  /** Whether the order isn't repeated any more although its outcome is unknown. */
  areRepeatsOver: boolean
}
