/**
 * The platform's list of VMs.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Name } from './name.js'

/** The platform's latest list, which may be out of date. */
export const VirtualMachineListing = z.object({
  /** Time at which the list was accurate. */
  asOf: EpochMilliseconds,
  virtualMachines: z.array(z.object({ id: Name, state: z.enum(['live', 'leaving']) }))
})
export type VirtualMachineListing = z.infer<typeof VirtualMachineListing>
