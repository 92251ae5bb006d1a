/**
 * The command that removes one configuration object.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Removes an object that nothing refers to any more. */
export const RemoveCommand = z.object({
  kind: z.literal('remove'),
  collection: z.enum(['pools', 'vms', 'teams', 'queues', 'presets', 'workers']),
  name: Name,
  /** Version that the author saw. */
  expectedVersion: z.number().int().min(0)
})
export type RemoveCommand = z.infer<typeof RemoveCommand>
