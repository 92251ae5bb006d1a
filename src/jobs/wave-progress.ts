/**
 * Progress of a maintenance wave, as stored in the journal.
 */
import * as z from 'zod'
import { listOf } from '../schemas/list-of.js'

/** Written before the maintenance orders to the VMs in `ordered` are sent. */
export const WaveProgress = z.object({
  /** Number of the wave. */
  wave: z.number().int(),
  /** IDs of the VMs whose maintenance has been ordered or is about to be. */
  ordered: listOf(z.string()),
  /** IDs of the VMs whose maintenance is known to have begun. */
  begun: listOf(z.string()),
  /** VMs of whose maintenance the platform has confirmed the order, with the fleet time of the first confirmation; it ends a fixed time after that at the latest. Records of older versions have none. */
  confirmed: listOf(z.object({ virtualMachine: z.string(), at: z.number() })).default([]),
  isCompleted: z.boolean()
})
export type WaveProgress = z.infer<typeof WaveProgress>
