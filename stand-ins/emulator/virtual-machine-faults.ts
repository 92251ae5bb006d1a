/**
 * Fault settings of the emulated control interface of the VMs.
 */

/** Faults and delays that tests set; no fault is on at first. */
export class VirtualMachineFaults {
  /** Age of the rows of each list, in milliseconds. */
  listAgeMilliseconds = 0
  /** Time that a list takes, in milliseconds; its rows are read when the request arrives. */
  listMilliseconds = 0
  /** Whether requests for the list get no response. */
  isListAway = false
  /** Status with which requests for the list are refused; 0 if they aren't. */
  listRefusalStatus = 0
  /** Number of orders, from the next one on, that get no response and are executed late. */
  lateOrders = 0
  /** Delay of a late order, in milliseconds. */
  lateOrderMilliseconds = 5_000

  /** Returns whether the next order is late, and counts it. */
  consumeLateOrder (): boolean {
    if (this.lateOrders === 0) return false
    this.lateOrders -= 1
    return true
  }
}
