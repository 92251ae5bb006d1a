/**
 * The response of an endpoint to `GET /healthz`.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** The capacity and the running requests of an endpoint, as it reports them. */
export const EndpointHealth = z.object({
  virtualMachine: Name,
  /** Pool whose service it runs. */
  pool: Name,
  /** Identity of the current boot; every reboot changes it. */
  bootId: z.string().min(1).max(128),
  /** Maximum number of requests that it runs at once. */
  slots: z.number().int().min(0),
  /** IDs of the requests that it is running. */
  running: z.array(z.string().max(64)).max(65_536)
})
export type EndpointHealth = z.infer<typeof EndpointHealth>
