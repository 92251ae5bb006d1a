/**
 * VMs in the folded state: their registration and the phase of planned work.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { VirtualMachine } from './virtual-machine.js'
import { VirtualMachineOperation } from './virtual-machine-operation.js'

/** A registered VM with its phase. */
export const VirtualMachineState = z.object({
  value: VirtualMachine,
  /** Offset of the last record that changed the VM. */
  version: z.number().int(),
  /** `serving`: gets new requests; `draining`: finishes its running requests; `rebooting`: has no requests. */
  phase: z.enum(['serving', 'draining', 'rebooting']),
  /** Planned work in progress, or null. */
  operation: VirtualMachineOperation.nullable(),
  /** Whether the log records the VM as failed outside planned work. */
  isAbsent: z.boolean(),
  /** Latest time by which the current phase of planned work should end; 0 without planned work. */
  phaseDeadline: EpochMilliseconds,
  /** Until when fewer than all slots of the VM are used. */
  slowStartDeadline: EpochMilliseconds
})
export type VirtualMachineState = z.infer<typeof VirtualMachineState>
