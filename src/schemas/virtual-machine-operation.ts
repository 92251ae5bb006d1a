/**
 * Planned work on a VM: a move to another pool or maintenance.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** What is done to a VM, from its drain until it serves again. */
export const VirtualMachineOperation = z.object({
  kind: z.enum(['move', 'maintenance']),
  /** Pool that the VM serves afterwards; its own pool for maintenance. */
  toPool: Name,
  /** Identity towards the platform, which makes the reboot idempotent. */
  intentId: z.string().min(1).max(128),
  /** Wave that the work belongs to, or null. */
  wave: Name.nullable()
})
export type VirtualMachineOperation = z.infer<typeof VirtualMachineOperation>
