/**
 * A maintenance wave: planned work over many VMs.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** A wave and how far it has come. */
export const Wave = z.object({
  name: Name,
  /** VMs in the order in which they are planned. */
  order: z.array(Name).min(1).max(10_000),
  /** Most VMs of the wave out of service at once, on top of the pools' budgets. */
  maximumAtOnce: z.number().int().min(1),
  phase: z.enum(['running', 'paused', 'aborted', 'finished']),
  /** VMs that have been maintained. */
  done: z.array(Name),
  /** Why the wave paused itself, or empty. */
  reason: z.string().max(1_024),
  /** Offset of the last record that changed the wave. */
  version: z.number().int()
})
export type Wave = z.infer<typeof Wave>
