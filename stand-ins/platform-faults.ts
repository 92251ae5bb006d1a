/**
 * Fault settings of the simulated platform.
 */
import * as z from 'zod'

/** Faults and delays that the simulated platform applies. */
export const PlatformFaults = z.object({
  /** Delay before each request is processed, in milliseconds. */
  slowMilliseconds: z.number().int().min(0).default(0),
  /** Whether connections are closed without a response. */
  isDown: z.boolean().default(false),
  /** Number of appends, from the next one on, that take effect without a response. */
  lostAppendAnswers: z.number().int().min(0).default(0),
  /** Number of newest records that the log keeps; 0 keeps all. */
  retainedRecords: z.number().int().min(0).default(0),
  /** Age of the list of VMs, in milliseconds. */
  listLagMilliseconds: z.number().int().min(0).default(0),
  /** Duration of a reboot, in milliseconds. */
  rebootMilliseconds: z.number().int().min(0).default(300),
  /** Whether reboot orders are accepted but never executed. */
  ignoresReboots: z.boolean().default(false)
}).strict()
export type PlatformFaults = z.infer<typeof PlatformFaults>
