/**
 * Commands that advance planned work on a VM and record its unplanned absence.
 */
import * as z from 'zod'
import { LeaseProof } from './lease-proof.js'
import { Name } from './name.js'
import { VirtualMachineOperation } from './virtual-machine-operation.js'

/** Starts or advances planned work, or records that a VM is absent or present. */
export const VirtualMachineCommand = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('start-operation'),
    virtualMachine: Name,
    operation: VirtualMachineOperation,
    /** Version of the VM known to the author. */
    expectedVersion: z.number().int().min(0),
    /** Set when a control process starts the work by its own decision; null for an operator's command. */
    proof: LeaseProof.nullable()
  }),
  z.object({
    kind: z.literal('advance-operation'),
    virtualMachine: Name,
    intentId: z.string().min(1).max(128),
    /**
     * Next phase: `rebooting` once no requests run on the VM; `serving` once it responds to its
     * probe, or from `draining` when the work is cancelled.
     */
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
