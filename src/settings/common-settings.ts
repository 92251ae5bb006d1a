/**
 * Settings common to the entry daemon and the control daemon.
 */
import * as z from 'zod'
import { Name } from '../schemas/name.js'
import { SocketAddress } from '../schemas/socket-address.js'
import { ClientSettings } from './client-settings.js'
import { MachineSettings } from './machine-settings.js'

/** The sections of a settings file that don't depend on the daemon. */
export const CommonSettings = z.object({
  process: z.object({
    /** Name of the process, unchanged by restarts and unique in the fleet. */
    id: Name,
    /** Name of the entry VM that it runs on, as in the platform's list. */
    host: Name,
    availabilityZone: Name
  }).strict(),
  platform: z.object({
    /** Address of the platform's services. */
    address: SocketAddress
  }).strict(),
  peers: z.object({
    /** Address to listen on for connections from peers. */
    address: SocketAddress,
    /** Peers to connect to while the process doesn't know or reach the members that the log lists. */
    seeds: z.array(SocketAddress).max(256).default([]),
    /** Secret shared by all processes of the fleet, with which peers authenticate each other. */
    secret: z.string().min(32, 'must have at least 32 characters').max(1_024)
  }).strict(),
  /** Size of the VM, from which the bounds on clients follow unless they are set. */
  machine: MachineSettings.strict().prefault({}),
  /** Bounds on what clients can make the process use. */
  clients: ClientSettings.prefault({}),
  logs: z.object({
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info')
  }).strict().prefault({}),
  metrics: z.object({
    /** StatsD server; without it metrics are only kept in memory. */
    address: SocketAddress
  }).strict().optional(),
  traces: z.object({
    /** OTLP/HTTP collector, such as http://127.0.0.1:4318/v1/traces; without it no spans are recorded. */
    endpoint: z.url({ protocol: /^https?$/ })
  }).strict().optional()
})
export type CommonSettings = z.infer<typeof CommonSettings>
