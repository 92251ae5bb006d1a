/**
 * A maintenance wave requested by operators.
 */
import * as z from 'zod'

/** All VMs must be maintained within the duration, and only a limited number of them at once. */
export const MaintenanceWave = z.object({
  wave: z.number().int(),
  virtualMachines: z.array(z.string()),
  /** Time allowed for the whole wave, in milliseconds. */
  durationMilliseconds: z.number().min(0),
  /** Maximum number of VMs down for maintenance at once. */
  maximumAtOnce: z.number().int().min(1)
})
export type MaintenanceWave = z.infer<typeof MaintenanceWave>
