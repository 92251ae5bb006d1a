/**
 * Control of VMs over the platform's HTTP interface.
 */
import type { Either } from 'purify-ts/Either'
import * as z from 'zod'
import { VirtualMachineListing } from '../schemas/virtual-machine-listing.js'
import type { HttpPlatformClient } from './http-platform-client.js'
import type { PlatformError } from '../state/platform-error.js'
import { VirtualMachineControl } from '../control/virtual-machine-control.js'

const RebootResponse = z.object({ state: z.enum(['pending', 'done']) })

/** Lists and reboots VMs. */
export class HttpVirtualMachineControl extends VirtualMachineControl {
  constructor (private readonly _client: HttpPlatformClient) {
    super()
  }

  override async list (deadline: number, signal: AbortSignal): Promise<Either<PlatformError, VirtualMachineListing>> {
    return this._client.call({ method: 'GET', path: '/virtual-machines', document: null, responseSchema: VirtualMachineListing, deadline, signal })
  }

  override async reboot (virtualMachine: string, intentId: string, pool: string, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, boolean>> {
    const path = `/virtual-machines/${virtualMachine}/reboot`
    const response = await this._client.call({ method: 'POST', path, document: { intentId, pool }, responseSchema: RebootResponse, deadline, signal })
    return response.map(({ state }) => state === 'done')
  }
}
