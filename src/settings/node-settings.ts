/**
 * Settings of `samphireglade-node`.
 */
import * as z from 'zod'
import { FleetTimings } from '../scheduling/fleet-timings.js'
import { ClientSettings } from './client-settings.js'
import { MachineSettings } from './machine-settings.js'

/** IPv4 address and port, separated by a colon. */
const Ipv4SocketAddress = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IPv4 address and a port, such as 10.0.0.1:8080')

/** A nonnegative quantity of the VM; empty or 0 if the platform doesn't provide it. */
const OptionalQuantity = z.coerce.number().min(0).default(0)

/** Order rate assumed if the platform doesn't state one. */
const DEFAULT_ORDERS_PER_SECOND = 64

/** Maximum size of the backlog for processes with 160 MB of heap, in tasks: a task takes about 1 KB in the owner (docs/PLATFORM.md). */
const DEFAULT_MAXIMUM_BACKLOG_TASKS = 60_000

/** The settings file of a node daemon, which the platform generates from `deploy/node-settings.toml`. */
export const NodeSettings = z.object({
  process: z.object({
    /** Name of the VM that the process runs on. */
    id: z.string().min(1),
    availabilityZone: z.string().min(1)
  }),
  listen: z.object({
    /** Address to listen on for callers. */
    callers: Ipv4SocketAddress,
    /** Address to listen on for the load balancer's readiness probes. */
    readiness: Ipv4SocketAddress,
    /** Address to listen on for metrics scrapes. */
    metrics: Ipv4SocketAddress
  }),
  platform: z.object({
    /** Address of the log store. */
    store: Ipv4SocketAddress,
    /** Address of the service that controls VMs; empty if there is none. */
    machines: z.union([z.literal(''), Ipv4SocketAddress]),
    /** Orders to VMs that this service accepts per second from all processes together. */
    ordersPerSecond: z.coerce.number().min(0).default(0).transform(rate => rate || DEFAULT_ORDERS_PER_SECOND),
    /** Address of the advice service; empty if there is none. */
    advice: z.union([z.literal(''), Ipv4SocketAddress])
  }),
  /** Size of the VM; a process on a small VM leaves ownership to others. */
  machine: MachineSettings.extend({
    processorShare: OptionalQuantity,
    processorSpeed: OptionalQuantity,
    linkMegabitsPerSecond: OptionalQuantity
  }).prefault({}),
  bounds: FleetTimings,
  /** Bounds on what clients can make the process use. */
  clients: ClientSettings.prefault({}),
  limits: z.object({
    /** Size of the backlog, in tasks, from which on jobs are refused; the same in all processes. */
    maximumBacklogTasks: z.number().int().min(1).default(DEFAULT_MAXIMUM_BACKLOG_TASKS),
    /** Whether jobs are refused that would complete too late to be of use to their caller, or that need more than the upper limit of their team. */
    refusesUnservableJobs: z.boolean().default(true),
    /** Whether tasks of steps that allow it get a second run, on another worker, when the first takes far longer than expected. */
    copiesSlowTasks: z.boolean().default(true)
  }).prefault({}),
  traces: z.object({
    /** OTLP/HTTP collector; without it no spans are recorded. */
    endpoint: z.url({ protocol: /^https?$/ })
  }).optional()
})
export type NodeSettings = z.infer<typeof NodeSettings>
