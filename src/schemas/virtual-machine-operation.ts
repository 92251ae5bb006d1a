/**
 * Planned work on VMs: moves to another pool and maintenance.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** One piece of planned work, from the drain of the VM until it serves again. */
export const VirtualMachineOperation = z.object({
  kind: z.enum(['move', 'maintenance']),
  /** Pool that the VM serves afterwards; its own pool for maintenance. */
  toPool: Name,
  /** ID of the work in requests to the platform, which makes the reboot idempotent. */
  intentId: z.string().min(1).max(128),
  /** Wave that the work belongs to, or null. */
  wave: Name.nullable()
})
export type VirtualMachineOperation = z.infer<typeof VirtualMachineOperation>
