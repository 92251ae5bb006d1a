/**
 * Control over the fleet's VMs.
 */
import type { Either } from 'purify-ts/Either'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { VirtualMachineError } from './virtual-machine-error.js'

/** Every order ends all that runs on the VM. Repeating one that was carried out changes nothing. */
export abstract class FleetVirtualMachineControl {
  /** All VMs. */
  abstract list (deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, FleetVirtualMachine[]>>

  /** Moves a VM into a pool. */
  abstract move (virtualMachine: string, pool: string, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>>

  /** Takes a VM down for the maintenance that a wave asks for. */
  abstract maintain (virtualMachine: string, wave: number, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>>
}
