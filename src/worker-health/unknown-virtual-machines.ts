/**
 * The lookup of VMs where the platform lists none.
 */
import { VirtualMachineLookup } from './virtual-machine-lookup.js'

/** Takes each worker for a VM of its own, which it keeps for as long as it keeps its ID. */
export class UnknownVirtualMachines extends VirtualMachineLookup {
  override virtualMachineOf (workerId: string): string {
    return workerId
  }
}
