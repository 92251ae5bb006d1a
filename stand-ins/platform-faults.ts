/**
 * Fault switches of the platform's stand-in.
 */
import * as z from 'zod'

/** Which faults are on. */
export const PlatformFaults = z.object({
  /** Every answer is late by this much, in milliseconds. */
  slowMilliseconds: z.number().int().min(0).default(0),
  /** Nothing is answered: connections are broken. */
  isDown: z.boolean().default(false),
  /** The answers to the next so many appends are lost after they took effect. */
  lostAppendAnswers: z.number().int().min(0).default(0),
  /** Records kept; older ones are cut off. 0 keeps all. */
  retainedRecords: z.number().int().min(0).default(0),
  /** The list of VMs shows how things were this long ago, in milliseconds. */
  listLagMilliseconds: z.number().int().min(0).default(0),
  /** How long a reboot takes, in milliseconds. */
  rebootMilliseconds: z.number().int().min(0).default(300),
  /** Reboots are taken and never carried out. */
  ignoresReboots: z.boolean().default(false)
}).strict()
export type PlatformFaults = z.infer<typeof PlatformFaults>
