/**
 * A VM as the fold keeps it: what was registered, and where it is in its life.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { VirtualMachine } from './virtual-machine.js'
import { VirtualMachineOperation } from './virtual-machine-operation.js'

/** The registered VM with its phase. */
export const VirtualMachineState = z.object({
  value: VirtualMachine,
  /** Offset of the last record that changed the VM. */
  version: z.number().int(),
  /** `serving` takes work, `draining` finishes what it has, `rebooting` has none. */
  phase: z.enum(['serving', 'draining', 'rebooting']),
  /** Planned work under way, or null. */
  operation: VirtualMachineOperation.nullable(),
  /** Whether the VM failed unplanned, as agreed in the log. */
  isAbsent: z.boolean(),
  /** When the present phase of planned work should be over at the latest; 0 without planned work. */
  phaseDeadline: EpochMilliseconds,
  /** Until when the VM is given less than its full slots. */
  slowStartDeadline: EpochMilliseconds
})
export type VirtualMachineState = z.infer<typeof VirtualMachineState>
