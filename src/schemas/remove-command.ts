/**
 * The command that removes one configuration object.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Removes an object that no other object refers to. */
export const RemoveCommand = z.object({
  kind: z.literal('remove'),
  collection: z.enum(['pools', 'vms', 'teams', 'queues', 'presets', 'workers']),
  name: Name,
  /** Version of the object known to the author. */
  expectedVersion: z.number().int().min(0)
})
export type RemoveCommand = z.infer<typeof RemoveCommand>
