/**
 * Interface to the VMs of the workers.
 */

/** Tells on which VM a worker is: after a crash a VM may return with another worker. */
export abstract class VirtualMachineLookup {
  /** Returns an identifier of the VM on which a worker is, or was last; empty while it is unknown. */
  abstract virtualMachineOf (workerId: string): string
}
