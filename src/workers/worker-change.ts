/**
 * Changes in the worker registry.
 */
import * as z from 'zod'
import { WorkerEntry } from './worker-entry.js'

/** One record of the registry's feed. */
export const WorkerChange = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('listed'), entry: WorkerEntry }),
  z.object({ kind: z.literal('removed'), id: z.string() }),
  /** An entry that could not be decoded; its worker is not used. */
  z.object({ kind: z.literal('unreadable'), id: z.string(), cause: z.string() })
])
export type WorkerChange = z.infer<typeof WorkerChange>
