/**
 * Refusals and failures of orders to VMs.
 */

/** Why an order wasn't carried out, or not surely. */
export class VirtualMachineError extends Error {
  /**
   * @param kind `unknown`: it may have been carried out, or may be later; `unsent`: nothing was done; `fenced`: a higher token has been used;
   * `busy`: the VM isn't up or is leaving; `not-in-wave`; `missing`: no such VM, or a pool that can't take it; `overload`: too many calls.
   */
  constructor (readonly kind: 'unknown' | 'unsent' | 'fenced' | 'busy' | 'not-in-wave' | 'missing' | 'overload', message: string) {
    super(message)
    this.name = 'MachineError'
  }
}
