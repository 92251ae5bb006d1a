/**
 * Times that owner and workers agree on.
 */
import * as z from 'zod'

/** Bounds of the fleet, in milliseconds; the platform's settings give them. */
export const FleetTimings = z.object({
  /** Longest lease that a worker grants. */
  maximumLeaseMilliseconds: z.number().min(1),
  /** How long a job's state is kept after its end. */
  statusRetentionMilliseconds: z.number().min(0),
  /** Least time between orders of two holders for one VM. */
  holderChangeMilliseconds: z.number().min(0),
  /** Time that a VM takes to move. */
  moveMilliseconds: z.number().min(0),
  /** Time that a VM's maintenance takes. */
  maintenanceMilliseconds: z.number().min(0)
})
export type FleetTimings = z.infer<typeof FleetTimings>
