/**
 * Commands that control maintenance waves.
 */
import * as z from 'zod'
import { LeaseProof } from './lease-proof.js'
import { Name } from './name.js'

/** Starts a wave or changes its phase. */
export const WaveCommand = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('start-wave'),
    name: Name,
    order: z.array(Name).min(1).max(10_000),
    maximumAtOnce: z.number().int().min(1)
  }),
  z.object({
    kind: z.literal('set-wave-phase'),
    name: Name,
    phase: z.enum(['running', 'paused', 'aborted', 'finished']),
    reason: z.string().max(1_024),
    expectedVersion: z.number().int().min(0),
    /** Set when a control process pauses or finishes the wave by its own decision; null for an operator's command. */
    proof: LeaseProof.nullable()
  })
])
export type WaveCommand = z.infer<typeof WaveCommand>
