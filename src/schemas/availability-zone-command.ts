/**
 * The command that takes an availability zone out or back.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Takes a zone out of service or back. */
export const AvailabilityZoneCommand = z.object({
  kind: z.literal('set-availability-zone'),
  availabilityZone: Name,
  isOut: z.boolean(),
  /** Accept even if a pool's availability budget breaks; for emergencies. */
  force: z.boolean(),
  /** Version of the zone that the author saw; 0 for never set. */
  expectedVersion: z.number().int().min(0)
})
export type AvailabilityZoneCommand = z.infer<typeof AvailabilityZoneCommand>
