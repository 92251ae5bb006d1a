/**
 * Errors of the platform's control of VMs.
 */

/** An order that was refused, failed, or has an unknown outcome. */
export class VirtualMachineError extends Error {
  /**
   * @param kind `unknown`: the order may have been carried out, or may be later; `unsent`: nothing was done; `fenced`: a higher fencing token has been used;
   * `busy`: the VM isn't up or is leaving; `not-in-wave`: the wave doesn't include the VM; `missing`: the VM doesn't exist, or the pool can't have it;
   * `overload`: too many calls.
   * @param message explanation for people.
   */
  constructor (readonly kind: 'unknown' | 'unsent' | 'fenced' | 'busy' | 'not-in-wave' | 'missing' | 'overload', message: string) {
    super(message)
    this.name = 'VirtualMachineError'
  }
}
