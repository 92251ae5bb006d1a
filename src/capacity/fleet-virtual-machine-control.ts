/**
 * Interface to the platform's control of VMs.
 */
import type { Either } from 'purify-ts/Either'
import type { FleetVirtualMachineList } from './fleet-virtual-machine-list.js'
import type { VirtualMachineError } from './virtual-machine-error.js'

/** Lists VMs and sends orders to them. Every order stops everything that runs on the VM; orders are idempotent. */
export abstract class FleetVirtualMachineControl {
  /** Lists all VMs. The list may come in parts between which a VM changes its place, so that it may lack one. */
  abstract list (deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, FleetVirtualMachineList>>

  /** Moves a VM into a pool. */
  abstract move (virtualMachine: string, pool: string, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>>

  /** Takes a VM down for the maintenance that a wave requests. */
  abstract maintain (virtualMachine: string, wave: number, term: number, deadline: number, signal: AbortSignal): Promise<Either<VirtualMachineError, void>>
}
