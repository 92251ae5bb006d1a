/**
 * What an endpoint answers to `GET /healthz`.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** An endpoint's account of itself. */
export const EndpointHealth = z.object({
  virtualMachine: Name,
  /** Pool whose service it runs. */
  pool: Name,
  /** Changes with every boot. */
  bootId: z.string().min(1).max(128),
  /** Requests that it runs at once. */
  slots: z.number().int().min(0),
  /** Identities of the requests that it has now. */
  running: z.array(z.string().max(64)).max(65_536)
})
export type EndpointHealth = z.infer<typeof EndpointHealth>
