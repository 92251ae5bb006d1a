/**
 * Progress of a maintenance wave, as stored in the journal.
 */
import * as z from 'zod'

/** Written before the maintenance orders to the VMs in `ordered` are sent. */
export const WaveProgress = z.object({
  /** Number of the wave. */
  wave: z.number().int(),
  /** IDs of the VMs whose maintenance has been ordered or is about to be. */
  ordered: z.array(z.string()),
  /** IDs of the VMs whose maintenance is known to have begun. */
  begun: z.array(z.string()),
  isCompleted: z.boolean()
})
export type WaveProgress = z.infer<typeof WaveProgress>
