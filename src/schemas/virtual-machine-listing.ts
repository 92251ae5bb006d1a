/**
 * The platform's list of VMs.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Name } from './name.js'

/** What the platform last knew; the list lags. */
export const VirtualMachineListing = z.object({
  /** When the list was true. */
  asOf: EpochMilliseconds,
  virtualMachines: z.array(z.object({ id: Name, state: z.enum(['live', 'leaving']) }))
})
export type VirtualMachineListing = z.infer<typeof VirtualMachineListing>
