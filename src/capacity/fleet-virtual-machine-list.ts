/**
 * A list of the fleet's VMs.
 */
import * as z from 'zod'
import { FleetVirtualMachine } from './fleet-virtual-machine.js'

/** The rows that could be decoded. */
export const FleetVirtualMachineList = z.object({
  virtualMachines: z.array(FleetVirtualMachine),
  /** Number of rows that could not be decoded; any VM that isn't among the others may be one of them. */
  unreadableRows: z.number().int().min(0)
})
export type FleetVirtualMachineList = z.infer<typeof FleetVirtualMachineList>
