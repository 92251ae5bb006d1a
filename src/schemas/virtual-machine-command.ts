/**
 * Commands that carry a VM through planned work and record unplanned absence.
 */
import * as z from 'zod'
import { LeaseProof } from './lease-proof.js'
import { Name } from './name.js'
import { VirtualMachineOperation } from './virtual-machine-operation.js'

/** Starts planned work, advances it, or records that a VM is absent or present. */
export const VirtualMachineCommand = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('start-operation'),
    virtualMachine: Name,
    operation: VirtualMachineOperation,
    /** Version of the VM that the author saw. */
    expectedVersion: z.number().int().min(0),
    /** Present when a control process starts the work on its own account. */
    proof: LeaseProof.nullable()
  }),
  z.object({
    kind: z.literal('advance-operation'),
    virtualMachine: Name,
    intentId: z.string().min(1).max(128),
    /** Phase that follows: `rebooting` once idle everywhere, `serving` once it answers its probe, or back to `serving` from `draining` when cancelled. */
    toPhase: z.enum(['rebooting', 'serving']),
    proof: LeaseProof
  }),
  z.object({
    kind: z.literal('set-absence'),
    virtualMachine: Name,
    isAbsent: z.boolean(),
    proof: LeaseProof
  })
])
export type VirtualMachineCommand = z.infer<typeof VirtualMachineCommand>
