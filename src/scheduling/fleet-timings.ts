/**
 * Timing parameters of the fleet, as the platform defines them.
 */
import * as z from 'zod'

/** Longest time that a stop takes if the settings don't state it, in milliseconds. */
const DEFAULT_MAXIMUM_STOP_MILLISECONDS = 400

/** Limits and durations that hold on the platform, in milliseconds; part of the settings. */
export const FleetTimings = z.object({
  /** Longest lease that a worker grants. */
  maximumLeaseMilliseconds: z.number().min(1),
  /** Longest time from a call without a response until it may be carried out. */
  maximumCallDelayMilliseconds: z.number().min(0),
  /** Longest time that a worker takes to stop a run, which it reports as running meanwhile. */
  maximumStopMilliseconds: z.number().min(0).default(DEFAULT_MAXIMUM_STOP_MILLISECONDS),
  /** Time for which a job's state is kept after the job has finished. */
  statusRetentionMilliseconds: z.number().min(0),
  /** Minimum time between orders of two different holders for one VM. */
  holderChangeMilliseconds: z.number().min(0),
  /** Time that a VM takes to move to another pool. */
  moveMilliseconds: z.number().min(0),
  /** Time that a VM's maintenance takes. */
  maintenanceMilliseconds: z.number().min(0)
})
export type FleetTimings = z.infer<typeof FleetTimings>
