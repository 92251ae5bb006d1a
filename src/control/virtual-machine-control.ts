/**
 * Interface to the platform's control over VMs.
 */
import type { Either } from 'purify-ts/Either'
import type { VirtualMachineListing } from '../schemas/virtual-machine-listing.js'
import type { PlatformError } from '../state/platform-error.js'

/** Lists and reboots VMs. */
export abstract class VirtualMachineControl {
  /** The platform's list of VMs, which may lag. */
  abstract list (deadline: number, signal: AbortSignal): Promise<Either<PlatformError, VirtualMachineListing>>

  /**
   * Orders a reboot after which the VM serves the given pool, or queries its progress: the platform performs each
   * intent once, however often it is sent.
   *
   * @returns whether the reboot is complete.
   */
  abstract reboot (virtualMachine: string, intentId: string, pool: string, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, boolean>>
}
