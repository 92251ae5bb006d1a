/**
 * Control over VMs by the platform's HTTP interface.
 */
import type { Either } from 'purify-ts/Either'
import * as z from 'zod'
import { VirtualMachineListing } from '../schemas/virtual-machine-listing.js'
import type { HttpPlatformClient } from './http-platform-client.js'
import type { PlatformError } from '../state/platform-error.js'
import { VirtualMachineControl } from '../control/virtual-machine-control.js'

const RebootAnswer = z.object({ state: z.enum(['pending', 'done']) })

/** Talks to the platform's VM interface. */
export class HttpVirtualMachineControl extends VirtualMachineControl {
  constructor (private readonly _caller: HttpPlatformClient) {
    super()
  }

  override async list (deadline: number, signal: AbortSignal): Promise<Either<PlatformError, VirtualMachineListing>> {
    return this._caller.call({ method: 'GET', path: '/virtual-machines', document: null, answer: VirtualMachineListing, deadline, signal })
  }

  override async reboot (virtualMachine: string, intentId: string, pool: string, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, boolean>> {
    const path = `/virtual-machines/${virtualMachine}/reboot`
    const answer = await this._caller.call({ method: 'POST', path, document: { intentId, pool }, answer: RebootAnswer, deadline, signal })
    return answer.map(({ state }) => state === 'done')
  }
}
