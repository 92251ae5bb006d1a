/**
 * The wire format of the operators' configuration. On the wire, queues are called routes, pools services and teams tenants.
 */
import * as z from 'zod'
import type { FleetConfiguration } from '../configuration/fleet-configuration.js'
import type { JobQueue } from '../configuration/job-queue.js'
import type { JobTeam } from '../configuration/job-team.js'
import type { WorkerPool } from '../configuration/worker-pool.js'
import { listOf } from '../schemas/list-of.js'
import { WireResources } from './wire-resources.js'

/** Maximum request body if the configuration sets none, in bytes. */
const DEFAULT_MAXIMUM_BODY_BYTES = 262_144

const WireRoute = z.object({
  name: z.string(),
  host: z.string().default(''),
  path_prefix: z.string(),
  service: z.string(),
  priority: z.number().int().default(0),
  max_attempts: z.number().int().min(1).default(1),
  stretch: z.number().default(1),
  target_latency_ms: z.number().default(0),
  allow_anonymous: z.boolean().default(false),
  advice: z.object({
    decide_ms: z.number().default(0),
    period_ms: z.number().default(0),
    valid_ms: z.number().default(0)
  }).nullish()
}).transform((route): JobQueue => ({
  name: route.name,
  host: route.host,
  pathPrefix: route.path_prefix,
  pool: route.service,
  priority: route.priority,
  maximumAttempts: route.max_attempts,
  stretch: route.stretch,
  targetLatencyMilliseconds: route.target_latency_ms,
  isOpenToAll: route.allow_anonymous,
  advice: route.advice
    ? { perCallMilliseconds: route.advice.decide_ms, perWorkerMilliseconds: route.advice.period_ms, ticketValidityMilliseconds: route.advice.valid_ms }
    : null
}))

const WireService = z.object({
  name: z.string(),
  standby: z.boolean().default(false),
  rejects_overload: z.boolean().default(false)
}).transform((service): WorkerPool => ({ name: service.name, isStandby: service.standby, rejectsOverload: service.rejects_overload }))

const WireTenant = z.object({
  name: z.string(),
  api_keys: listOf(z.string()).default([]),
  weight: z.number().default(1),
  // An upper limit on the resources in use, not on the number of requests.
  max_count: WireResources.prefault({})
}).transform((tenant): JobTeam => ({ name: tenant.name, keys: tenant.api_keys, share: tenant.weight, upperLimit: tenant.max_count }))

/** Value of the operators' `config` record. */
export const WireConfiguration = z.object({
  version: z.number(),
  routes: listOf(WireRoute).default([]),
  services: listOf(WireService).default([]),
  tenants: listOf(WireTenant).default([]),
  limits: z.object({ max_body_bytes: z.number().int().min(1).default(DEFAULT_MAXIMUM_BODY_BYTES) }).prefault({})
}).transform((wire): FleetConfiguration => ({
  version: wire.version,
  queues: wire.routes,
  pools: wire.services,
  teams: wire.tenants,
  maximumBodyBytes: wire.limits.max_body_bytes
}))
