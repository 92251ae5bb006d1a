/**
 * Settings of the node daemon.
 */
import * as z from 'zod'
import { FleetTimings } from '../scheduling/fleet-timings.js'

/** IP number and port. */
const Address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IPv4 number and a port')

/** A measure of the VM; empty or 0 if the platform doesn't tell. */
const Size = z.coerce.number().min(0).default(0)

/** What `deploy/node-settings.toml` is filled in to. */
export const NodeSettings = z.object({
  process: z.object({
    /** Name of the VM that the process runs on. */
    id: z.string().min(1),
    availabilityZone: z.string().min(1)
  }),
  listen: z.object({
    /** Where callers connect. */
    callers: Address,
    /** Where the balancer asks whether the process is ready. */
    readiness: Address,
    /** Where metrics are fetched. */
    metrics: Address
  }),
  platform: z.object({
    /** The log store. */
    store: Address,
    /** The machines' interface; empty if there is none. */
    machines: z.union([z.literal(''), Address]),
    /** The advice service; empty if there is none. */
    advice: z.union([z.literal(''), Address])
  }),
  /** Size of the VM; small ones leave the owner's work to others. */
  machine: z.object({
    processorShare: Size,
    processorSpeed: Size,
    linkMegabitsPerSecond: Size
  }).prefault({}),
  bounds: FleetTimings,
  traces: z.object({
    /** OTLP/HTTP collector; without it there are no spans. */
    endpoint: z.url({ protocol: /^https?$/ })
  }).optional()
})
export type NodeSettings = z.infer<typeof NodeSettings>
