/**
 * A VM of the fleet as listed by the platform.
 */
import * as z from 'zod'
import { Resources } from '../jobs/resources.js'

/** One row of the platform's list, which may lag behind the VM's actual state. */
export const FleetVirtualMachine = z.object({
  id: z.string(),
  pool: z.string(),
  state: z.enum(['up', 'moving', 'maintenance', 'down']),
  availabilityZone: z.string(),
  labels: z.array(z.string()),
  capacity: Resources,
  /** ID of the worker that currently runs on the VM; empty for none. */
  worker: z.string()
})
export type FleetVirtualMachine = z.infer<typeof FleetVirtualMachine>
