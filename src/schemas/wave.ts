/**
 * Maintenance waves: planned maintenance of many VMs.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** A wave with its progress. */
export const Wave = z.object({
  name: Name,
  /** VMs in the order of their maintenance. */
  order: z.array(Name).min(1).max(10_000),
  /** Maximum number of VMs of the wave that may be out of service at once; the pools' availability budgets apply as well. */
  maximumAtOnce: z.number().int().min(1),
  phase: z.enum(['running', 'paused', 'aborted', 'finished']),
  /** VMs that have been maintained. */
  done: z.array(Name),
  /** Why the phase last changed, or empty. */
  reason: z.string().max(1_024),
  /** Offset of the last record that changed the wave. */
  version: z.number().int()
})
export type Wave = z.infer<typeof Wave>
