/**
 * Resources that a task needs or uses, or that a worker has.
 */
import * as z from 'zod'

/** Processors, memory and accelerators. */
export const TaskSize = z.object({
  /** Processor cores. */
  processors: z.number().min(0).max(4_096),
  /** Memory in megabytes. */
  memoryMegabytes: z.number().min(0).max(67_108_864),
  /** Whole accelerators. */
  accelerators: z.number().int().min(0).max(1_024).default(0)
}).strict()
export type TaskSize = z.infer<typeof TaskSize>
