/**
 * An order to a VM, as the journal has it.
 */
import * as z from 'zod'

/** The newest order to one VM, written before it is sent. */
export const VirtualMachineOrder = z.object({
  term: z.number().int(),
  /** Fleet time at which it was decided on, in milliseconds. */
  at: z.number(),
  /** Pool that it moves the VM to; missing if the order was refused, for maintenance, and in records of older versions. */
  pool: z.string().optional(),
  /** ID of the worker that the VM had by then, empty for none. */
  worker: z.string().optional()
})
export type VirtualMachineOrder = z.infer<typeof VirtualMachineOrder>
