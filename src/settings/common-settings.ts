/**
 * Settings that both daemons have.
 */
import * as z from 'zod'
import { Name } from '../schemas/name.js'
import { SocketAddress } from '../schemas/socket-address.js'

/** The parts of a settings file that don't depend on the daemon. */
export const CommonSettings = z.object({
  process: z.object({
    /** Name of the process, stable over restarts and unique in the fleet. */
    id: Name,
    /** Entry VM that it runs on, as the platform's list names it. */
    host: Name,
    availabilityZone: Name
  }).strict(),
  platform: z.object({
    /** Where the platform's services listen. */
    address: SocketAddress
  }).strict(),
  peers: z.object({
    /** Where this process takes connections of its peers. */
    address: SocketAddress,
    /** Peers to call on before the log has told of any. */
    seeds: z.array(SocketAddress).max(256).default([]),
    /** Secret that all processes of the fleet share. */
    secret: z.string().min(32, 'must have at least 32 characters').max(1_024)
  }).strict(),
  logs: z.object({
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info')
  }).strict().prefault({}),
  metrics: z.object({
    /** StatsD server; without it metrics stay in the process. */
    address: SocketAddress
  }).strict().optional(),
  traces: z.object({
    /** OTLP/HTTP collector, such as http://127.0.0.1:4318/v1/traces; without it there are no spans. */
    endpoint: z.url({ protocol: /^https?$/ })
  }).strict().optional()
})
export type CommonSettings = z.infer<typeof CommonSettings>
