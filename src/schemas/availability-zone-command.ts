/**
 * The command that takes an availability zone out of service or returns it.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Takes a zone out of service or returns it to service. */
export const AvailabilityZoneCommand = z.object({
  kind: z.literal('set-availability-zone'),
  availabilityZone: Name,
  isOut: z.boolean(),
  /** Whether to accept the command even if it violates a pool's availability budget; for emergencies. */
  force: z.boolean(),
  /** Version of the zone known to the author; 0 if it was never set. */
  expectedVersion: z.number().int().min(0)
})
export type AvailabilityZoneCommand = z.infer<typeof AvailabilityZoneCommand>
